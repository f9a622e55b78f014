Feature: Racing changes
  Two operators change the rules at the same time. One change wins as a whole, the
  other is not applied at all, and its operator learns whose change came first.

  Scenario: The loser sees the winner's change and who made it
    Given Jon sets the rate of berdea to 7 just before the next change arrives
    When Ane runs "rate set urdina --rate 60"
    Then the exit code is 4
    And the output says "version 2 came first, by Jon: ticket 20"
    And the output says "+ organisation berdea rate=7"
    And the rate of berdea is 7
    And the rate of urdina is 50

  Scenario: A file made from an older version is not applied
    Given Ane has a file of the rules with the rate of urdina set to 60
    And Jon has set the rate of berdea to 7
    When Ane runs "rules apply FILE"
    Then the exit code is 4
    And the output says "version 2 came first, by Jon: ticket 20"
    And nothing was submitted
    And the rate of berdea is 7
    And the rate of urdina is 50

  Scenario: A file made from the version in force is applied
    Given Ane has a file of the rules with the rate of urdina set to 60
    When Ane runs "rules apply FILE"
    Then the exit code is 0
    And the output says "accepted as version 2, in force"
    And the rate of urdina is 60

  Scenario: A key that lost the race is not printed
    Given Jon sets the rate of berdea to 7 just before the next change arrives
    When Ane runs "key issue urdina/web"
    Then the exit code is 4
    And no key is printed

  Scenario: A key whose answer was lost is not printed
    Given the answer to the next change is lost
    When Ane runs "key issue urdina/web"
    Then the exit code is 3
    And the output says "see 'rattanlug rules history'"
    And no key is printed

  Scenario: A change without a majority is refused
    Given changes are refused with no_majority
    When Ane runs "key withdraw urdina/shop"
    Then the exit code is 1
    And the output says "no_majority: refused"

  Scenario: A change that is stored but not in force says so
    Given changes do not come into force
    When Ane runs "key withdraw urdina/shop"
    Then the exit code is 0
    And the output says "not yet in force everywhere; waiting for galle-1-a"

  Scenario: A wrong change is not sent
    When Ane runs "rate set urdina --rate lots"
    Then the exit code is 2
    And the output says "rate: got 'lots'; accepted: a number above 0"
    And nothing was submitted
