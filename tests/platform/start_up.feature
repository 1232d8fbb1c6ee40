Feature: A daemon on a small VM accepts connections soon after its process has started

  Scenario: what only the product's own interfaces need is not imported
    When the modules of the platform's daemon are imported
    Then none of "pydantic, hypercorn, starlette, httpx, opentelemetry" is among them

  Scenario: callers are queued before most modules are imported
    When the modules that the platform's daemon needs before it listens are imported
    Then none of "asyncio, anyio, uvloop, logbook, berylproxy.durable.holding" is among them

  Scenario: the number of modules is bounded
    When the modules of the platform's daemon are imported
    Then they are fewer than 260

  Scenario: a connection that comes before the daemon is ready is served
    Given a store that answers nothing yet and a starting platform daemon
    When a caller connects as soon as the daemon listens and submits a job
    And the store begins to answer
    Then the caller is answered by the daemon

  Scenario: a caller of a daemon that can't get ready is told so
    Given a store that answers nothing yet and a starting platform daemon
    When a caller connects as soon as the daemon listens and submits a job
    Then the caller is answered 503 with Retry-After by the starting daemon
    And the starting daemon is not ready

  Scenario: an address in use is one clear error
    Given a platform daemon whose ready address is in use
    Then it ends with status 12 and one line that names the address

  Scenario Outline: a reload signal to a daemon that waits for its store doesn't end it
    Given a store that answers nothing yet and a starting platform daemon
    When the starting daemon gets SIGHUP <moment>
    And the store begins to answer
    Then the starting daemon gets ready
    And daemon 0 logs "settings read again" once, naming "settings"

    Examples:
      | moment                               |
      | as soon as it listens                |
      | once it has been refused by the store |

  Scenario: a daemon that waits for its store learns where the store has moved
    Given a starting platform daemon whose settings name a store that isn't there
    When the starting daemon gets SIGHUP once its settings name the store that is there
    Then the starting daemon gets ready

  Scenario Outline: a daemon that is asked to stop while it waits for its store ends cleanly
    Given a store that answers nothing yet and a starting platform daemon
    When a caller connects as soon as the daemon listens and submits a job
    And the starting daemon gets SIGTERM <moment>
    Then the caller is answered 503 with Retry-After by the starting daemon
    And the starting daemon ends with status 0

    Examples:
      | moment                               |
      | as soon as it listens                |
      | once it has been refused by the store |
