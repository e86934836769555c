"""Prometheus counters of the control plane."""

from prometheus_client import CollectorRegistry, Counter


class ControlMetrics:
    """Counters of control plane events; each label has few fixed values."""

    def __init__(self, registry: CollectorRegistry) -> None:
        def counter(name: str, help_text: str, *labels: str) -> Counter:
            return Counter(
                f"eelgrassweir_control_{name}", help_text, labels, registry=registry
            )

        self.stream_losses = counter(
            "stream_losses", "Streams lost, by role of the peer and cause.",
            "role", "cause",
        )  # fmt: skip
        self.attachments = counter("attachments", "Attachments to a parent.")
        self.redirects = counter("redirects", "Attachments sent on to a child.")
        self.cycles = counter("cycles", "Parents left because they were below.")
        self.config_taken = counter("config_taken", "Configuration versions taken.")
        self.config_refused = counter(
            "config_refused", "Configurations not taken, by reason.", "reason"
        )
        self.store_calls = counter(
            "store_calls", "Store calls, by kind and outcome.", "kind", "outcome"
        )
        self.members_taken = counter("members_taken", "Membership entries taken.")
        messages = counter("messages", "Stream messages, by direction.", "direction")
        self.sent = messages.labels("sent")
        self.received = messages.labels("received")
        self.down_marks = counter("down_marks", "Daemons marked down by this one.")
        self.call_failures = counter(
            "call_failures", "Failed calls to other daemons, by method.", "method"
        )


def count_of(counter: Counter, **labels: str) -> float:
    """Return the sum of a counter over its labels, for dumps.

    ``labels`` restricts the sum to samples with these values.
    """
    total = 0.0
    for metric in counter.collect():
        for sample in metric.samples:
            if sample.name.endswith("_created"):
                continue
            if all(sample.labels.get(name) == value for name, value in labels.items()):
                total += sample.value
    return total
