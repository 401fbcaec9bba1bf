"""Prevents non-idempotent requests from running twice."""

import secrets
from dataclasses import dataclass

from verbenad.call import Call
from verbenad.call_digest import call_digest
from verbenad.rate_limiter import RateLimiter
from verbenad.refusal import OUTCOME_UNKNOWN
from verbenad.refusal_error import refusal_error
from verbenad.run_claims import RunClaims
from verbenad.store_claims import StoreClaim, StoreClaims
from verbenaworks.run_messages import (
    AlreadyAnswered,
    ClaimRun,
    KeyReused,
    LedgerFull,
    ReportAnswered,
    ReportNotRun,
    ReportUnknown,
    RunNow,
    StillRunning,
    StoredAnswer,
)
from verbenaworks.run_ticket import MAX_KEY_LENGTH, RunTicket, parse_ticket

# Share of the remaining time for the claim; the rest is for the request.
_CLAIM_TIME_SHARE = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class RunClaim:
    """A granted claim.

    :ivar ticket: the ticket in the key; None for a claim in the store.
    """

    key: str
    attempt_id: str
    ticket: RunTicket | None


class RunGuard:
    """Claims the idempotency keys of requests.

    :param claims: ledgers of shard owners, for keys with a ticket.
    :param store_claims: claims in the store, for other keys.
    :param limiter: limits the rate of the fleet's claims in the store.
    """

    def __init__(
        self,
        *,
        claims: RunClaims,
        store_claims: StoreClaims,
        limiter: RateLimiter,
    ) -> None:
        self._claims = claims
        self._store_claims = store_claims
        self._limiter = limiter

    def claim(
        self, call: Call, now_s: float, window_s: float
    ) -> RunClaim | StoredAnswer | None:
        """Return the claim, or the response of an earlier run.

        None means that the request has no key and is not protected.

        :raises RefusalError: if the request must not run.
        """
        values = call.head.values("idempotency-key")
        if call.idempotent or not values:
            return None
        key = values[0]
        if len(values) > 1 or not 0 < len(key) <= MAX_KEY_LENGTH:
            raise refusal_error("malformed-idempotency-key", call.request_id)
        ticket = parse_ticket(key)
        if ticket is None:
            return self._claim_in_store(call, key, window_s)
        return self._claim_at_owner(call, key, ticket, now_s)

    def record_response(
        self, claim: RunClaim, answer: StoredAnswer | None
    ) -> None:
        """Record that the request ran, with its response if it is stored."""
        if claim.ticket is not None:
            self._report(claim, claim.ticket, ReportAnswered, answer=answer)

    def record_not_run(self, claim: RunClaim) -> None:
        """Record that the request provably did not run."""
        if claim.ticket is None:
            self._store_claims.release(claim.key)
        else:
            self._report(claim, claim.ticket, ReportNotRun)

    def record_unknown(self, claim: RunClaim) -> None:
        """Record that the request may have run."""
        if claim.ticket is not None:
            self._report(claim, claim.ticket, ReportUnknown)

    def _report(
        self,
        claim: RunClaim,
        ticket: RunTicket,
        kind: type[ReportAnswered | ReportNotRun | ReportUnknown],
        **content: StoredAnswer | None,
    ) -> None:
        self._claims.report(
            kind(
                shard=ticket.shard,
                epoch=ticket.epoch,
                key=claim.key,
                attempt_id=claim.attempt_id,
                **content,
            )
        )

    def _claim_at_owner(
        self, call: Call, key: str, ticket: RunTicket, now_s: float
    ) -> RunClaim | StoredAnswer:
        scoped_key = f"{call.workspace}/{key}"
        claim = RunClaim(
            key=scoped_key, attempt_id=secrets.token_hex(8), ticket=ticket
        )
        deadline_s = now_s + (call.deadline_s - now_s) * _CLAIM_TIME_SHARE
        reply = self._claims.claim_after_end(
            ClaimRun(
                shard=ticket.shard,
                epoch=ticket.epoch,
                generation=ticket.generation,
                key=scoped_key,
                attempt_id=claim.attempt_id,
                fingerprint=call_digest(call),
            ),
            deadline_s,
        )
        request_id = call.request_id
        match reply:
            case RunNow():
                return claim
            case AlreadyAnswered(answer=answer):
                return answer
            case StillRunning():
                raise refusal_error(
                    "still-running",
                    request_id,
                    run=OUTCOME_UNKNOWN,
                    retry_after_s=1.0,
                )
            case KeyReused():
                raise refusal_error(
                    "malformed-idempotency-key",
                    request_id,
                    message="the key was used for another request",
                )
            case LedgerFull():
                raise refusal_error(
                    "run-window-full", request_id, retry_after_s=60.0
                )
            case None:
                # The claim may have been granted and the reply lost.
                self.record_not_run(claim)
        raise refusal_error("outcome-unknown", request_id, run=OUTCOME_UNKNOWN)

    def _claim_in_store(
        self, call: Call, key: str, window_s: float
    ) -> RunClaim:
        request_id = call.request_id
        if not self._limiter.take_store_claim(call.workspace, call.deadline_s):
            raise refusal_error(
                "run-window-full", request_id, retry_after_s=1.0
            )
        scoped_key = f"{call.workspace}/{key}"
        match self._store_claims.claim(scoped_key, window_s):
            case StoreClaim.GRANTED:
                return RunClaim(key=scoped_key, attempt_id="", ticket=None)
            case _:
                raise refusal_error(
                    "outcome-unknown", request_id, run=OUTCOME_UNKNOWN
                )
