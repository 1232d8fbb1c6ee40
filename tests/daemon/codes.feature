Feature: Each code is explained to operators

  Scenario: The operations page names the code of every error
    Then the operations page lists each error's code
