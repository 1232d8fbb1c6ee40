Feature: The shares of jobs that are served under load, by the decisions alone

  # The loads have the rates, sizes and speeds of an installation of 24 endpoints. The baseline starts
  # jobs in the order of their arrival, each task on the fastest endpoint with enough free resources.

  Scenario Outline: callers get more in time than from first come, first served
    When <load> is simulated with the decisions of the holder and with the baseline
    Then more worth is earned and more jobs end in time than with the baseline

    Examples:
      | load                                         |
      | a burst of 1.5 times the load for 4 s        |
      | a burst of 2 times the load for 3 s          |
      | the return of 110 callers after an outage    |

  Scenario: under the usual load hardly anybody waits too long, whatever the job
    When the usual load is simulated with the decisions of the holder and with the baseline
    Then 99 of 100 jobs end in time and none is refused
    And each kind of job earns 95 of 100 of its worth

  Scenario Outline: no caller waits for an answer that would come too late
    When <load> is simulated with the decisions of the holder and with the baseline
    Then no job ends after three times its objective
    And at least as many jobs are served as with a policy that never abandons started jobs

    Examples:
      | load                                         |
      | a burst of 1.5 times the load for 4 s        |
      | a burst of 2 times the load for 3 s          |
      | the return of 110 callers after an outage    |

  Scenario Outline: jobs of small groups go to one with room, as far as heartbeats tell
    When <load> is simulated on <groups> groups with and without the choice of a group
    Then with the choice more worth is earned, more jobs end in time and fewer are refused

    Examples:
      | load                                  | groups |
      | the usual load                        | 6      |
      | the usual load                        | 4      |
      | a burst of 1.5 times the load for 4 s | 6      |

  Scenario Outline: lost calls to endpoints cost callers less than without copies
    When <load> is simulated with <lost> of 100 calls to endpoints unanswered
    Then more jobs end in time and more worth is earned than without copies of overdue calls

    Examples:
      | load                                  | lost |
      | the usual load                        | 6    |
      | the usual load                        | 50   |
      | a burst of 1.5 times the load for 4 s | 6    |

  Scenario: some lost calls to endpoints cost callers little
    When the usual load is simulated with 6 of 100 calls to endpoints unanswered
    Then at least 95 of 100 jobs end in time
