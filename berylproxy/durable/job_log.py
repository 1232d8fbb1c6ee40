"""Log lines and metrics of the decisions on jobs, one line for each decision."""

from dataclasses import dataclass

from logbook import Logger

from berylproxy.durable.job_table import Job, JobTable
from berylproxy.durable.models import JobSpec
from berylproxy.durable.placement import objective_s
from berylproxy.durable.tenure import Tenure

logger = Logger(__name__)


@dataclass(frozen=True, slots=True)
class JobLog:
    """Logs and counts the decisions on the jobs of one tenure."""

    tenure: Tenure
    job_table: JobTable

    def note_refused(self, spec: JobSpec, retry_after_s: float) -> None:
        """Records that a job is refused under load, usually as it could not end in time.

        Refusals for too many open jobs or for a claim that is unconfirmed are counted alike.
        """
        self.tenure.telemetry.count("jobs_refused", queue=spec.terms.queue, reason="late")
        logger.info(
            "job refused: it cannot end in time under the present load",
            extra=self.tenure.extra(
                job=spec.job_id,
                queue=spec.terms.queue,
                open_jobs=len(self.job_table.jobs),
                retry_after_s=retry_after_s,
            ),
        )

    def note_not_stored(self, spec: JobSpec, reason: str) -> None:
        """Records that a job is refused, as the store is unavailable."""
        self.tenure.telemetry.count("jobs_refused", queue=spec.terms.queue, reason="store")
        logger.info(
            "job refused, as it could not be stored: {}",
            reason,
            extra=self.tenure.extra(job=spec.job_id),
        )

    def note_abandoned(self, job: Job, waiting: int, now_s: float) -> None:
        """Records that a job that has begun is abandoned, as it cannot end in time.

        :param waiting: number of its tasks that were ready and had no endpoint with room.
        """
        self.tenure.telemetry.count("jobs_given_up", queue=job.spec.terms.queue)
        logger.info(
            "job abandoned: it has begun and cannot end in time",
            extra=self.tenure.extra(
                job=job.spec.job_id,
                queue=job.spec.terms.queue,
                age_s=round(now_s - job.accepted_s, 3),
                objective_s=round(objective_s(job), 3),
                expected_s=round(job.expected_s, 3),
                tasks=len(job.tasks),
                waiting=waiting,
                open_jobs=len(self.job_table.jobs),
            ),
        )

    def note_dropped(self, job: Job, reason: str) -> None:
        """Records that a job is dropped, as its caller is presumed to have stopped waiting."""
        logger.info(
            "job dropped: {}",
            reason,
            extra=self.tenure.extra(job=job.spec.job_id, started=job.started),
        )

    def note_ended(self, job: Job) -> None:
        """Records that a job has reached a final state."""
        queue, took_s = job.spec.terms.queue, self.tenure.clock.now_s() - job.accepted_s
        is_late = took_s > objective_s(job)
        self.tenure.telemetry.count("jobs_ended", queue=queue, state=job.state.value)
        self.tenure.telemetry.observe_job(queue, took_s)
        if is_late:
            self.tenure.telemetry.count("jobs_late", queue=queue)
        starts_s = [
            task.ordered_s - job.accepted_s for task in job.tasks.values() if task.ordered_s
        ]
        logger.info(
            "job {}",
            job.state.value,
            extra=self.tenure.extra(
                job=job.spec.job_id,
                queue=queue,
                entry=job.entry,
                took_s=round(took_s, 3),
                objective_s=round(objective_s(job), 3),
                expected_s=round(job.expected_s, 3),
                late=is_late,
                tasks=len(job.tasks),
                runs=sum(task.ordered_starts for task in job.tasks.values()),
                first_start_s=round(min(starts_s), 3) if starts_s else None,
                last_start_s=round(max(starts_s), 3) if starts_s else None,
            ),
        )
