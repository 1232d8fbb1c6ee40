Feature: Each code is explained to operators

  Scenario: The operations page names the code of every error
    Then each error's code stands in the operations page
