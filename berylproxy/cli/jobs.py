"""The commands for callers: submit, request, status and cancel."""

from dataclasses import asdict
from typing import Any

from berylproxy.cli.context import Context
from berylproxy.cli.definition import CancelCommand, RequestCommand, StatusCommand, SubmitCommand
from berylproxy.cli.errors import StillRunningError, UsageError
from berylproxy.cli.inputs import check_duration, generate_tasks, read_input, read_job
from berylproxy.cli.output import Section
from berylproxy.client.errors import JobFailedError, NotRunError
from berylproxy.client.models import JobAnswer, JobState, JobTask
from berylproxy.exit_status import ExitStatus
from berylproxy.models import Outcome

CANCELLED_CODE = "cancelled"


async def run_submit(command: SubmitCommand, context: Context) -> ExitStatus:
    """Submits a job and prints its answer."""
    check_duration("--timeout-s", command.timeout_s)
    if command.wait_s is not None:
        check_duration("--wait-s", command.wait_s, allow_zero=True)
    service, tasks = _load_job(command, context)
    async with context.open_client() as client:
        with context.printer.show_progress(f"{len(tasks)} tasks submitted to {service}"):
            answer = await client.submit(
                service,
                tasks,
                timeout_s=command.timeout_s,
                wait_s=command.wait_s,
                repeatable=command.repeatable,
                job_id=command.id,
            )
    _print_job(answer, context)
    if answer.state is JobState.RUNNING:
        raise StillRunningError(
            f"job {answer.job_id} is still running", hint=f"berylctl status {answer.job_id}"
        )
    return ExitStatus.SUCCESS


async def run_request(command: RequestCommand, context: Context) -> ExitStatus:
    """Sends a single request and prints the endpoint's answer unchanged."""
    check_duration("--timeout-s", command.timeout_s)
    body = read_input(command.file, context.environment)
    async with context.open_client() as client:
        with context.printer.show_progress(f"request sent to {command.service}"):
            answer = await client.send(
                command.service,
                body,
                repeatable=command.repeatable,
                timeout_s=command.timeout_s,
                content_type=command.content_type,
                request_id=command.id,
            )
    context.printer.print_text(answer.body.decode(errors="replace"))
    return ExitStatus.SUCCESS


async def run_status(command: StatusCommand, context: Context) -> ExitStatus:
    """Prints a job's answer, or its state while it is running."""
    check_duration("--wait-s", command.wait_s, allow_zero=True)
    async with context.open_client() as client:
        with context.printer.show_progress(f"waiting for job {command.job}"):
            answer = await client.fetch_job(command.job, wait_s=command.wait_s)
    _print_job(answer, context)
    return ExitStatus.SUCCESS


async def run_cancel(command: CancelCommand, context: Context) -> ExitStatus:
    """Cancels a job and prints its final state."""
    async with context.open_client() as client:
        try:
            answer = await client.cancel(command.job)
        except (NotRunError, JobFailedError) as error:
            if error.code != CANCELLED_CODE:
                raise
            outcome = Outcome.NOT_RUN if isinstance(error, NotRunError) else Outcome.FAILED
            fields = {"id": command.job, "state": "finished", "outcome": outcome}
            fields["code"] = error.code
            title = f"job {command.job}: cancelled, {outcome}"
            context.printer.print(fields, Section([], title))
            return ExitStatus.SUCCESS
    _print_job(answer, context)
    return ExitStatus.SUCCESS


def _load_job(command: SubmitCommand, context: Context) -> tuple[str, list[JobTask]]:
    """Returns the service and the tasks, which are generated or read from the file."""
    if command.count:
        if command.file is not None:
            raise UsageError("--count generates the tasks", hint="give a file or --count, not both")
        service = command.service
        tasks = generate_tasks(command.count, command.run_time_s, command.seed)
    else:
        job = read_job(command.file, context.environment)
        service = command.service or job.service
        tasks = [JobTask(task.id, task.payload, task.needs) for task in job.tasks]
    if not service:
        raise UsageError("no service is given", hint="give --service")
    return service, tasks


def _print_job(answer: JobAnswer, context: Context) -> None:
    value: dict[str, Any] = {
        "id": answer.job_id,
        "state": answer.state,
        "outcome": answer.outcome,
        "results": [{"id": task.task_id, "payload": task.payload} for task in answer.results],
    }
    title = f"job {answer.job_id}: {answer.outcome or answer.state}"
    rows = [asdict(task) for task in answer.results]
    context.printer.print(value, Section(rows, title))
