Feature: A holder doesn't run a best-effort job again that has ended in its tenure

  # Guards against a done job that runs again because its reply was lost or came too late.
  Scenario Outline: a job that was <ended> is submitted again
    Given a holder with a claim that has loaded the open jobs
    And a best-effort job that was <ended> after its submission as attempt <first>
    When the job is submitted to the holder as attempt <second>
    Then the holder <answer>

    Examples:
      | ended     | first | second | answer                        |
      | completed | 0     | 0      | says that it is completed     |
      | completed | 0     | 1      | says that it is completed     |
      | completed | 1     | 2      | says that it is completed     |
      | completed | 1     | 1      | says that it is completed     |
      | failed    | 1     | 2      | says that it is failed        |
      | dropped   | 0     | 1      | opens it again                |
      | dropped   | 1     | 2      | opens it again                |
