Feature: A slot is held back for a faster endpoint only where the wait is short

  Background:
    Given an endpoint that takes 0.1 s with no free slot, and one that takes 0.2 s with a free one

  Scenario: The faster endpoint has a slot almost at once
    When a task is placed while the faster one has a slot in 0.01 s
    Then the task waits for the faster endpoint

  Scenario: The wait would take half of the gain
    When a task is placed while the faster one has a slot in 0.05 s
    Then the task starts at the slower endpoint

  Scenario: Each task that waits already makes the next one's wait longer
    When 3 tasks are placed while the faster one has a slot in 0.01 s
    Then 1 of them waits and 1 starts
