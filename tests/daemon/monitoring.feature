Feature: Traces, status and metrics tell what happened

  Background:
    Given the guarded cluster of 3 daemons in 2 failure domains

  Scenario: A job's trace has a span for each hop
    When a caller with its own trace context submits a job to daemon 1 under an id of daemon 0
    Then the trace has spans of daemon 1 for admitting and forwarding, of daemon 0 for serving and sending
    And each span's parent is the span of the previous hop, and of the first span that of the caller
    And the endpoint received the trace context of the send span

  Scenario: Jobs and sends are counted as counters
    When a job of 3 tasks that all run and a job with a task that fails have ended at daemon 0
    Then the counters of daemon 0 have increased as follows
      | series                                     | growth |
      | berylproxy_jobs_total{outcome="done"}      | 1      |
      | berylproxy_jobs_total{outcome="failed"}    | 1      |
      | berylproxy_task_sends_total{result="done"} | 3      |
      | berylproxy_task_sends_total{result="failed"} | 1    |
    And the scrape declares "berylproxy_jobs_total" as a counter

  Scenario: The status shows the endpoints that leave by the list of VMs
    When the list of VMs says that the VM of all endpoints is leaving
    Then each daemon's status shows all endpoints as leaving
    When the list of VMs is malformed
    Then each daemon logs that the list can't be read, and shows all endpoints as leaving
    When the list of VMs is empty again
    Then each daemon's status shows no endpoint as leaving
