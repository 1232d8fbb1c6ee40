"""Header names and limits that several packages share."""

TEAM_HEADER = "Berylproxy-Team"
REQUEST_ID_HEADER = "Berylproxy-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
REPEATABLE_HEADER = "Berylproxy-Repeatable"
TIMEOUT_HEADER = "Berylproxy-Timeout-S"
OUTCOME_HEADER = "Berylproxy-Outcome"
CODE_HEADER = "Berylproxy-Code"
TASK_ID_HEADER = "Berylproxy-Task-Id"
SERVICE_HEADER = "Berylproxy-Service"
TRACEPARENT_HEADER = "traceparent"

MAX_TASKS_PER_JOB = 1_000
MAX_IDENTIFIERS_PER_CALL = 1_000
MAX_SUBMISSION_BYTES = 8 * 1024 * 1024
MAX_ANSWER_BYTES = 8 * 1024 * 1024  # of one task, and of all tasks of a job in total
MAX_PEER_MESSAGE_BYTES = 4 * MAX_SUBMISSION_BYTES  # escaping in JSON may triple the size of text
MAX_IDEMPOTENCY_KEY_CHARACTERS = 200
JSON_CONTENT_TYPE = "application/json"
