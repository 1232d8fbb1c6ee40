Feature: What is known of a run in case its endpoint is lost

  Scenario Outline: <events>
    Given a run at an endpoint of which is known: <events>
    Then the evidence of the run is "<evidence>"

    Examples:
      | events                      | evidence |
      | ordered                     | ordered  |
      | ordered, unanswered         | doubtful |
      | ordered, confirmed          | begun    |
      | ordered, reported           | begun    |
      | unanswered, reported        | begun    |
      | unanswered, stopped         | doubtful |
      | confirmed, stopped          | possible |
      | confirmed by former process | possible |
