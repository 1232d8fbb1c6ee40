Feature: A slot that came back refused is not granted again at once

  Scenario Outline: The slot rests, then goes to a task again
    Given a ledger of one endpoint with 1 slot and a home with 5 waiting tasks
    When the slot is granted and comes back "<result>"
    Then the next grant comes after <pause> s

    Examples:
      | result     | pause |
      | done       | 0     |
      | unused     | 0     |
      | full       | 0.1   |
      | unsuitable | 0.1   |
