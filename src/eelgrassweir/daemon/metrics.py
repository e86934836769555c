"""Prometheus metrics of a daemon; the configuration bounds their labels."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


class Metrics:
    """Metrics of one daemon and their registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.answers = Counter(
            "eelgrassweir_answers_total",
            "Answers of backend servers passed on, by route and status class.",
            ["route", "status_class"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "eelgrassweir_refusals_total",
            "Refusals sent to callers and backend servers, by code.",
            ["code"],
            registry=self.registry,
        )
        self.tree_refusals = Counter(
            "eelgrassweir_tree_refusals_total",
            "Root requests refused for lack of room below, by route and full service.",
            ["route", "service"],
            registry=self.registry,
        )
        self.unanswered = Counter(
            "eelgrassweir_unanswered_total",
            "Queued or started requests whose connection ended without their answer.",
            registry=self.registry,
        )
        self.peak_memory = Gauge(
            "eelgrassweir_peak_memory_bytes",
            "Largest resident size of the process so far.",
            registry=self.registry,
        )
        self.retries = Counter(
            "eelgrassweir_retries_total",
            "Attempts after the first, by service.",
            ["service"],
            registry=self.registry,
        )
        self.placed = Counter(
            "eelgrassweir_placed_total",
            "Requests by service and domain of the first target, own or other.",
            ["service", "domain"],
            registry=self.registry,
        )
        self.record_copies = Counter(
            "eelgrassweir_record_copies_total",
            "Copies of non-idempotent requests answered from a record.",
            registry=self.registry,
        )
        self.team_calls = Counter(
            "eelgrassweir_team_calls_total",
            "Root requests admitted by team.",
            ["team"],
            registry=self.registry,
        )
        self.task_failures = Counter(
            "eelgrassweir_task_failures_total",
            "Errors that ended a long-lived task, by task.",
            ["task"],
            registry=self.registry,
        )
        self.latency = Histogram(
            "eelgrassweir_request_seconds",
            "Time from the complete request to the answer.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.loop_lag = Histogram(
            "eelgrassweir_loop_lag_seconds",
            "Lateness of the event loop at its periodic tasks.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.store_calls = Gauge(
            "eelgrassweir_store_calls",
            "Calls of the platform's store since the start.",
            registry=self.registry,
        )
        self.is_store_reader = Gauge(
            "eelgrassweir_store_reader",
            "1 if this daemon reads the store for others, else 0.",
            registry=self.registry,
        )
        self.config_version = Gauge(
            "eelgrassweir_config_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )
        self.config_age = Gauge(
            "eelgrassweir_config_freshness_age_seconds",
            "Age of the word that the configuration is the newest; -1 for none.",
            registry=self.registry,
        )
