Feature: Requests stay in the regions that their class may use
  The operators' file says by class which regions its requests may use. Every send keeps to it, and the newest
  generation that a sidecar has heard of binds it.

  Scenario Outline: A class keeps to its region
    Given a fleet of 10 sidecars in 2 regions that act <how>
    And class payment may only use region west
    And it has run for 3 seconds
    Then for 5 seconds class payment goes from everyone to region west only
    And at least 98 percent of class payment of the last 4 seconds is served
    And no rule is broken

    Examples:
      | how      |
      | alone    |
      | together |

  Scenario: A class of two regions uses both
    Given a fleet of 10 sidecars in 3 regions that act together
    And class payment may only use regions west and east
    And it has run for 5 seconds
    Then server west-1-s1 gets requests within 2 seconds
    And server north-1-s1 gets requests within 2 seconds
    And no rule is broken

  Scenario Outline: Where its region is lost a class is refused and goes nowhere else
    Given a fleet of 10 sidecars in 2 regions that act <how>
    And class payment may only use region west
    And clients ask for 0.35 times what servers can do
    And it has run for 3 seconds
    When zone west-1 is lost
    And zone west-2 is lost
    And 4 seconds pass
    Then for 3 seconds class payment goes nowhere from everyone
    And some was refused for residency in the last 3 seconds
    And at least 90 percent of class quote of the last 3 seconds is served
    When zone west-1 returns cold
    And 8 seconds pass
    Then at least 90 percent of class payment of the last 3 seconds is served
    And no rule is broken

    Examples:
      | how      |
      | alone    |
      | together |

  Scenario: Retries stay inside
    Given a fleet of 10 sidecars in 2 regions that act together
    And class quote may only use region east
    And it has run for 3 seconds
    When server east-1-s1 answers 50 percent with errors
    Then for 5 seconds class quote goes from everyone to region east only
    And no rule is broken

  Scenario: Rules that tighten at one sidecar bind all
    Given a fleet of 10 sidecars in 2 regions that act together
    And class payment may only use regions west and east
    And it has run for 4 seconds
    When the file of sidecar 1 keeps class payment in region west, generation 2
    And 2 seconds pass
    Then for 4 seconds class payment goes from everyone to region west only
    And no rule is broken

  Scenario: Who was cut off meanwhile is bound when it hears of it
    Given a fleet of 10 sidecars in 2 regions that act together
    And class payment may only use regions west and east
    And it has run for 4 seconds
    When region east is cut off from all others
    And the file of sidecar 1 keeps class payment in region west, generation 2
    And 2 seconds pass
    Then for 2 seconds class payment goes from region west to region west only
    When all links between sidecars are mended
    And 4 seconds pass
    Then for 3 seconds class payment goes from everyone to region west only
    And no rule is broken

  Scenario: A restart does not fall back to an older file
    Given a fleet of 10 sidecars in 2 regions that act together
    And class payment may only use regions west and east
    And it has run for 4 seconds
    When the file of sidecar 1 keeps class payment in region west, generation 2
    And 3 seconds pass
    And sidecar 4 starts anew
    And 3 seconds pass
    Then for 4 seconds class payment goes from everyone to region west only
    And no rule is broken

  Scenario: An older generation does not loosen what a newer one keeps
    Given a fleet of 10 sidecars in 2 regions that act together
    And class payment may only use regions west and east
    And it has run for 4 seconds
    When the file of everyone keeps class payment in region west, generation 5
    And 3 seconds pass
    And the file of sidecar 3 keeps class payment in regions west and east, generation 4
    And 2 seconds pass
    Then for 4 seconds class payment goes from everyone to region west only

  Scenario: Rules that loosen are followed once all have them
    Given a fleet of 10 sidecars in 2 regions that act together
    And class payment may only use region west
    And it has run for 4 seconds
    When the file of everyone keeps class payment in region east, generation 2
    And 3 seconds pass
    Then for 4 seconds class payment goes from everyone to region east only
    And no rule is broken

  Scenario: Two files of one generation that differ leave what both allow
    Given a fleet of 10 sidecars in 2 regions that act together
    And class payment may only use regions west and east
    And it has run for 4 seconds
    When the file of sidecar 1 keeps class payment in region west, generation 2
    And the file of sidecar 2 keeps class payment in region east, generation 2
    And 3 seconds pass
    Then for 3 seconds class payment goes nowhere from everyone

  Scenario: A name that returns in another zone is held to that zone
    Given a fleet of 10 sidecars in 2 regions that act together
    And class payment may only use region west
    And it has run for 4 seconds
    When the name west-1-s1 returns in zone east-1
    And 1 seconds pass
    Then for 5 seconds class payment goes from everyone to region west only
    And no rule is broken

  Scenario: Thirty percent loss delays rules and does not lose them
    Given a fleet of 10 sidecars in 2 regions that act together
    And class payment may only use regions west and east
    And it has run for 4 seconds
    When all links between sidecars lose 30 percent of what they carry
    And the file of sidecar 2 keeps class payment in region east, generation 2
    And 4 seconds pass
    Then for 3 seconds class payment goes from everyone to region east only
    And no rule is broken
