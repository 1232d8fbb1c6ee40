Feature: The output of a failed test run names the cause

  Scenario Outline: the traceback of <failure> is printed
    Given a feature of its own whose step has <failure>
    When that feature is run
    Then the output has the scenario's log folder and the lines "<lines>" of a traceback

    Examples:
      | failure            | lines                                     |
      | an error           | in raise_error; RuntimeError: broken step |
      | an error in a task | in raise_error; RuntimeError: broken step |
      | a failed assertion | in step_impl; AssertionError: wrong value |
