Feature: The package can be imported
  Scenario: The version is known
    When the package is imported
    Then its version is "0.1.0"
