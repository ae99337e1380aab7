Feature: Several troubles at once
  Overload, a region without discovery and rules of residency, by two and all three together.

  Scenario: A region loses discovery under overload
    Given a fleet of 10 sidecars in 2 regions that act together
    And it has run for 4 seconds
    When clients ask for 1.5 times what servers can do
    And discovery refuses region west
    Then within 6 seconds one coordinator acts in region west
    When 8 seconds pass
    Then the worth of the last 6 seconds is at least 0.85 of the ideal
    And no rule is broken
    When discovery is back for region west
    And clients ask for 0.6 times what servers can do
    Then things are normal within 4 seconds

  Scenario: A class is kept in its region under overload
    Given a fleet of 10 sidecars in 2 regions that act together
    And class payment may only use region west
    And it has run for 4 seconds
    When clients ask for 2 times what servers can do
    And 4 seconds pass
    Then for 6 seconds class payment goes from everyone to region west only
    And at least 70 percent of class payment of the last 6 seconds is served
    And no rule is broken

  Scenario: A coordinator's words do not widen rules
    Given a fleet of 10 sidecars in 2 regions that act together
    And class payment may only use region east
    And it has run for 4 seconds
    When discovery refuses region west
    Then within 4 seconds one coordinator acts in region west
    When the name east-1-s1 returns in zone west-1
    And 1 seconds pass
    Then for 4 seconds class payment goes from everyone to region east only
    And no rule is broken

  Scenario: Rules tighten while a region has no discovery
    Given a fleet of 10 sidecars in 2 regions that act together
    And class payment may only use regions west and east
    And it has run for 4 seconds
    When discovery refuses region west
    Then within 4 seconds one coordinator acts in region west
    When the file of sidecar 3 keeps class payment in region east, generation 2
    And 2 seconds pass
    Then for 4 seconds class payment goes from everyone to region east only
    And no rule is broken

  Scenario: A stopped third, lost datagrams, overload and no discovery
    Given a fleet of 15 sidecars in 2 regions that act together
    And 33 percent of the links between sidecars lose 30 percent of what they carry
    And it has run for 4 seconds
    When clients ask for 1.5 times what servers can do
    And discovery refuses everyone
    And 3 seconds pass
    And every third sidecar is stopped
    And 6 seconds pass
    And all that are stopped wake
    And discovery is back for everyone
    And clients ask for 0.6 times what servers can do
    Then things are normal within 5 seconds
    And within 4 seconds no coordinator acts in region west
    And no rule is broken

  Scenario: All three at once, and a zone that returns cold
    Given a fleet of 12 sidecars in 2 regions that act together
    And class payment may only use region west
    And it has run for 4 seconds
    When discovery refuses region west
    And clients ask for 1.3 times what servers can do
    Then within 5 seconds one coordinator acts in region west
    When zone west-2 is lost
    And 3 seconds pass
    And zone west-2 returns cold
    And discovery is back for region west
    And clients ask for 0.6 times what servers can do
    Then for 4 seconds class payment goes from everyone to region west only
    And no cold server has fallen
    And no rule is broken
