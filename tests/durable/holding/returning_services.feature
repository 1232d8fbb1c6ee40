Feature: The groups of a service that leaves the configuration and returns are followed again

  # Guards against completed jobs that are answered 410, and groups that nobody holds, as a group is
  # let go while another of its service isn't (review case 13).
  Scenario: a service with a running job returns after one of its groups was let go
    Given a daemon with a service of two groups, a job that runs in the first and one completed in the second
    When the service leaves the configuration, and the second group has been let go
    And the service is in the configuration again
    And the daemon holds both groups within 3 s
    Then a caller who asks for the second group's job is told "completed"

  # Guards against 410 for completed jobs while their group has no holder.
  Scenario Outline: <request> a completed job whose group was let go
    Given a daemon with a service of two groups, a job that runs in the first and one completed in the second
    When the service leaves the configuration, and the second group has been let go
    Then a caller who <request> the second group's job is told "completed"

    Examples:
      | request  |
      | asks for |
      | cancels  |

  # Guards against 410 for accepted jobs, at a daemon that hasn't heard of the group's new holder.
  Scenario: a daemon that missed the return of a service asks the new holder of its group
    Given a daemon with a service of two groups, a job that runs in the first and one completed in the second
    When the service leaves the configuration, and the second group has been let go
    And another daemon, of which it hears nothing, holds the second group and has a job
    Then a caller who asks for that job is told that its state isn't known

  Scenario: a job that nobody has is answered while a group is let go
    Given a daemon with a service of two groups, a job that runs in the first and one completed in the second
    When the service leaves the configuration, and the second group has been let go
    Then a caller who asks for a job that nobody has is told that there is none

  Scenario: the service leaves and returns twice
    Given a daemon with a service of two groups, a job that runs in the first and one completed in the second
    When the service leaves the configuration, and the second group has been let go
    And the service is in the configuration again
    And the daemon holds both groups within 3 s
    And the service leaves the configuration, and the second group has been let go
    And the service is in the configuration again
    Then within 3 s the daemon holds both groups
