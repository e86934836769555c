"""Confirm a plan: check it against the current version, then commit it.

The admin interface of a daemon uses it for the operator's ``confirm``.
"""

from collections.abc import Callable, Sequence
from typing import Any

import attrs

from eelgrassweir.config.describe import Change, describe_changes
from eelgrassweir.config.document import (
    ConfigDocument,
    dump_document,
    find_version_of_change,
)
from eelgrassweir.config.plan import Plan

# (base version, change id, document) -> (result of the CommitReply, version)
Commit = Callable[[int, str, bytes], tuple[str, int]]


@attrs.frozen(kw_only=True)
class ConfirmReply:
    """Result of confirming a plan.

    ``result`` is ``applied``, ``already_applied``, ``conflict`` (the
    configuration has changed since the plan), ``refused``, ``behind`` (this
    daemon has an older version than the plan's base), ``minority`` (the relays
    that reach the store are in contact with too few failure domains) or
    ``store_unreachable``. ``version`` is the one that the change made, or the
    current one. ``changed_since`` lists the changes behind a conflict.
    """

    result: str
    version: int
    reason: str = ""
    changed_since: Sequence[Change] = ()


def reply_to_json(reply: ConfirmReply) -> dict[str, Any]:
    """Return the reply as JSON values."""
    return attrs.asdict(reply)


def check_confirm(plan: Plan, current: ConfigDocument) -> ConfirmReply | None:
    """Return the reply to a plan that must not be committed, or None."""
    version = current.version
    made = find_version_of_change(current, plan.plan_id)
    if made is not None:
        return ConfirmReply(result="already_applied", version=made)
    if plan.refusals:
        reason = "; ".join(plan.refusals)
        return ConfirmReply(result="refused", version=version, reason=reason)
    if version < plan.base_version:
        reason = (
            f"this daemon has version {version} and the plan is based on "
            f"{plan.base_version}; wait, or confirm at another daemon"
        )
        return ConfirmReply(result="behind", version=version, reason=reason)
    if version > plan.base_version:
        return make_conflict_reply(plan, current)
    if current != plan.base_document:
        reason = "the plan's base is not this daemon's configuration; make a new plan"
        return ConfirmReply(result="refused", version=version, reason=reason)
    return None


def make_conflict_reply(plan: Plan, current: ConfigDocument) -> ConfirmReply:
    """Return the refusal of a plan based on an older version."""
    reason = (
        f"the plan is based on version {plan.base_version} and the current version "
        f"is {current.version}; make a new plan"
    )
    return ConfirmReply(
        result="conflict",
        version=current.version,
        reason=reason,
        changed_since=tuple(describe_changes(plan.base_document, current)),
    )


def commit_plan(plan: Plan, commit: Commit) -> ConfirmReply:
    """Commit a checked plan and return the reply.

    The reply to a conflict does not list what has changed.
    """
    result, version = commit(
        plan.base_version, plan.plan_id, dump_document(plan.document)
    )
    if result in ("applied", "already_applied"):
        return ConfirmReply(result=result, version=version)
    if result == "conflict":
        reason = (
            f"the plan is based on version {plan.base_version} and the store has "
            f"version {version}; make a new plan"
        )
        return ConfirmReply(result=result, version=version, reason=reason)
    if result == "minority":
        reason = (
            "the relays that could write the change are in contact with only a "
            "minority of the failure domains, and the others might keep the old "
            "version. Repeat the confirm of the same plan when the domains are in "
            "contact again: it takes effect at most once"
        )
        return ConfirmReply(result=result, version=version, reason=reason)
    reason = (
        "no relay reaches the store; the change may have been written. Repeat the "
        "confirm of the same plan: it takes effect at most once"
    )
    return ConfirmReply(result="store_unreachable", version=version, reason=reason)
