"""Log lines and metrics of the decisions on jobs, one line for each decision."""

from collections.abc import Mapping
from dataclasses import dataclass

from logbook import Logger

from berylproxy.durable.decisions.acceptance import Refusal
from berylproxy.durable.decisions.capacity import CapacityMeter
from berylproxy.durable.decisions.placement import objective_s
from berylproxy.durable.decisions.shares import ClaimantShare
from berylproxy.durable.jobs.job_table import Job, JobTable, measure_objective_s
from berylproxy.durable.jobs.models import JobSpec
from berylproxy.durable.orders.tenure import Tenure

# After "job refused: ", by the reason of the refusal.
REFUSAL_TEXTS = {
    "late": "it cannot end in time under the present load",
    "share": "its queue and failure domain exceed their share, and it would be late",
    "waited": "it cannot end in time any more, and no task has begun",
    "no_endpoint": "no endpoint takes tasks",
    "full": "too many open jobs",
    "unconfirmed": "the claim is not confirmed",
}

logger = Logger("berylproxy.durable.job_log")


@dataclass(frozen=True, slots=True)
class JobLog:
    """Logs and counts the decisions on the jobs of one tenure."""

    tenure: Tenure
    job_table: JobTable

    def note_refused(self, job: Job, refusal: Refusal, waited_s: float = 0.0) -> None:
        """Records that a job is refused, with what the decision is based on.

        :param waited_s: time since its acceptance, if it is refused after that.
        """
        queue = job.spec.terms.queue
        self.tenure.telemetry.count("jobs_refused", queue=queue, reason=refusal.reason)
        logger.info(
            "job refused: {}",
            REFUSAL_TEXTS[refusal.reason],
            extra=self.tenure.extra(
                job=job.spec.job_id,
                queue=queue,
                reason=refusal.reason,
                failure_domain=job.failure_domain,
                open_jobs=len(self.job_table.jobs),
                retry_after_s=refusal.retry_after_s,
                waited_s=round(waited_s, 3),
                backlog_core_s=round(refusal.backlog_core_s, 1),
                capacity_cores=round(refusal.capacity_cores, 1),
                expected_end_s=round(refusal.expected_end_s, 3),
                limit_s=round(refusal.limit_s, 3),
            ),
        )

    def note_place_kept(self, spec: JobSpec, waited_s: float) -> None:
        """Records that a refused caller came back at the time told and is accepted."""
        queue = spec.terms.queue
        self.tenure.telemetry.count("returned_jobs_accepted", queue=queue)
        logger.debug(
            "job accepted in the place of its earlier refusal",
            extra=self.tenure.extra(job=spec.job_id, queue=queue, waited_s=round(waited_s, 3)),
        )

    def note_scarcity(
        self,
        is_scarce: bool,
        meter: CapacityMeter,
        shares: list[ClaimantShare],
        endpoints: Mapping[str, int],
    ) -> None:
        """Records that room became scarce or ample, and who sends more than its share.

        :param endpoints: number of endpoints by the reason why they don't serve; empty for those
            that serve.
        """
        over = [
            f"{share.claimant.queue}@{share.claimant.failure_domain or '?'}"
            for share in shares
            if share.is_over
        ]
        logger.info(
            "room is scarce: it is divided by shares" if is_scarce else "room is ample again",
            extra=self.tenure.extra(
                demand_cores=round(sum(share.demand for share in shares), 1),
                capacity_cores=round(meter.observed_cores, 1),
                usable_share=round(meter.usable_share, 3),
                mean_speed=round(meter.mean_speed, 3),
                endpoints={reason or "serving": count for reason, count in endpoints.items()},
                over_share=over,
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
        measured_objective_s = measure_objective_s(job)
        is_late = took_s > measured_objective_s
        self.tenure.telemetry.count("jobs_ended", queue=queue, state=job.state.value)
        self.tenure.telemetry.observe_job(queue, took_s)
        if is_late:
            self.tenure.telemetry.count("jobs_late", queue=queue)
        if job.failure_cause is not None:
            cause = job.failure_cause.value
            self.tenure.telemetry.count("jobs_failed", queue=queue, cause=cause)
        tasks = job.tasks.values()
        starts_s = [task.ordered_s - job.accepted_s for task in tasks if task.ordered_s]
        logger.info(
            "job {}",
            job.state.value,
            extra=self.tenure.extra(
                job=job.spec.job_id,
                queue=queue,
                entry=job.entry,
                took_s=round(took_s, 3),
                objective_s=round(objective_s(job), 3),
                measured_objective_s=round(measured_objective_s, 3),
                expected_s=round(job.expected_s, 3),
                late=is_late,
                failure_cause=job.failure_cause.value if job.failure_cause else None,
                failed_runs=max((len(task.failed_runs) for task in tasks), default=0),
                crashes=max((task.crash_count.crashes for task in tasks), default=0),
                tasks=len(tasks),
                runs=sum(task.ordered_starts for task in tasks),
                first_start_s=round(min(starts_s), 3) if starts_s else None,
                last_start_s=round(max(starts_s), 3) if starts_s else None,
            ),
        )
