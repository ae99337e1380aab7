Feature: Sidecars that act alone
  What each sidecar does by itself, and what every fleet falls back to when its members cannot hear each other.

  Background:
    Given a fleet of 10 sidecars in 2 regions that act alone
    And it has run for 4 seconds

  Scenario: A calm hour
    When 6 seconds pass
    Then at least 99 percent of the last 5 seconds is served
    And the worth of the last 5 seconds is at least 0.98 of the ideal
    And retries of the last 5 seconds are at most 1 percent of first tries
    And no region has ever had a coordinator
    And no rule is broken

  Scenario: A drain that discovery tells
    When server west-1-s1 drains
    And 1 seconds pass
    Then nothing goes to server west-1-s1 for 4 seconds
    And at least 99 percent of the last 4 seconds is served
    And no rule is broken

  Scenario: A server that dies
    When server east-2-s3 crashes
    And 4 seconds pass
    Then nothing goes to server east-2-s3 for 2 seconds
    And at least 98 percent of the last 5 seconds is served
    And no rule is broken

  Scenario: A server that hangs is left alone until it goes on
    When server west-1-s2 hangs
    And 4 seconds pass
    Then server west-1-s2 gets at most 4 percent of all sends for 4 seconds
    When server west-1-s2 goes on
    And 12 seconds pass
    Then server west-1-s2 gets requests within 2 seconds
    And no rule is broken

  Scenario: A server that becomes slow gets less
    When server west-2-s1 becomes 6 times slower
    And 3 seconds pass
    Then server west-2-s1 gets at most 6 percent of all sends for 4 seconds
    And at least 98 percent of the last 4 seconds is served
    And no rule is broken

  Scenario: A server that fails is ejected and tried again
    When server east-1-s1 answers 90 percent with errors
    And 4 seconds pass
    Then server east-1-s1 gets at most 3 percent of all sends for 3 seconds
    When server east-1-s1 is well again
    And 10 seconds pass
    Then server east-1-s1 gets requests within 2 seconds
    And no rule is broken

  Scenario: A server that starts anew is not overrun
    When server east-1-s2 starts anew
    And 5 seconds pass
    Then server east-1-s2 gets requests within 1 seconds
    And no cold server has fallen
    And no rule is broken

  Scenario: A zone is lost and returns cold
    When zone west-2 is lost
    And 3 seconds pass
    And zone west-2 returns cold
    Then things are normal within 5 seconds
    And no cold server has fallen
    And no rule is broken

  Scenario: Discovery is gone for a while
    When discovery refuses everyone
    And 8 seconds pass
    Then at least 99 percent of the last 6 seconds is served
    When discovery is back for everyone
    And 8 seconds pass
    Then discovery was called at most 10 times in any second since then
    And no rule is broken

  Scenario: Discovery falls silent, and a drain is heard when it is back
    When discovery falls silent for region west
    And discovery says that server east-1-s1 drains
    And 6 seconds pass
    And discovery is back for region west
    Then within 10 seconds every sidecar holds that server east-1-s1 drains
    And no rule is broken

  Scenario: Twice what servers can do, and then calm
    When clients ask for 2 times what servers can do
    And 5 seconds pass
    Then class payment is served more than class browse in the last 4 seconds
    And retries of the last 4 seconds are at most 11 percent of first tries
    When clients ask for 0.5 times what servers can do
    Then things are normal within 8 seconds
    And no rule is broken

  Scenario: A sidecar is stopped and woken
    When sidecar 3 is stopped
    And 3 seconds pass
    And it wakes
    And 3 seconds pass
    Then at least 99 percent of the last 2 seconds is served
    And no rule is broken

  Scenario: A sidecar dies and starts anew with its list
    When sidecar 4 dies
    And 1 seconds pass
    And sidecar 4 starts anew
    And 3 seconds pass
    Then at least 99 percent of the last 2 seconds is served
    And no rule is broken

  Scenario: All sidecars start anew at once
    When all sidecars start anew
    And 3 seconds pass
    Then at least 95 percent of the last 2 seconds is served
    And discovery was called at most 10 times in any second since then
    And no rule is broken

  Scenario: A region does not reach a zone
    When region west does not reach the servers of zone east-1
    And 5 seconds pass
    Then at least 97 percent of the last 4 seconds is served
    When region west reaches the servers of zone east-1
    And 12 seconds pass
    Then server east-1-s1 gets requests within 1 seconds
    And no rule is broken
