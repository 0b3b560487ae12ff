"""Benchmark of the placement policies: processor time and memory per placement.

Prints a table by policy and fleet size. Uses no network and measures processor time only.
"""

import time
import tracemalloc
from collections import deque
from random import Random

import tabulate
from absl import app, flags

from persimmonstall.lengths import classify
from persimmonstall.messages.control import EndpointLoad
from persimmonstall.messages.requests import Work
from persimmonstall.placement.admission import admit
from persimmonstall.placement.length_aware import LengthAware
from persimmonstall.placement.policy import LeastOutstanding, RandomTwo, RoundRobin
from persimmonstall.placement.prediction import OutputLengthPredictor
from persimmonstall.placement.view import FleetView
from persimmonstall.settings import Settings

FLAGS = flags.FLAGS
flags.DEFINE_integer("placements", 2000, "Placements measured for each row.", lower_bound=100)
flags.DEFINE_integer("organisations", 6300, "Organisations that send requests.", lower_bound=1)
flags.DEFINE_integer("seed", 1, "Random seed of the fleet and the requests.")

FLEET_SIZES = (20, 200, 600)
MODELS = (1, 9)
IN_FLIGHT = 1000
POLICIES = (RoundRobin, LeastOutstanding, RandomTwo, LengthAware)
REPEATS = 3


def make_view(settings, size, models, random):
    """Return a `FleetView` of `size` busy endpoints that serve `models` models in turn."""
    view = FleetView(settings)
    for number in range(size):
        name = f"e{number}"
        view.join(name, f"dc{number % 3}", 0.0005)
        view.report(
            EndpointLoad(
                name,
                running=random.randrange(32),
                waiting=0,
                memory_used=random.randrange(300_000),
                memory_total=400_000,
                prefill_backlog=random.randrange(50_000),
                step_seconds=0.02,
                models=(f"m{number % models}",),
            ),
            1.0,
        )
    return view


def make_works(settings, count, models, organisations, random):
    """Return requests of varied length; those of an organisation share their first block."""
    works = []
    for number in range(count):
        tokens = int(1000 * 1000 ** (random.random() ** 2))
        blocks = tokens // settings.lengths.block
        organisation = random.randrange(organisations)
        prefix_blocks = (organisation, *(random.getrandbits(60) for _ in range(blocks - 1)))[
            :blocks
        ]
        works.append(
            Work(
                f"r{number}",
                f"o{organisation}",
                b"",
                deadline=1000.0,
                arrived=1.0,
                model=f"m{number % models}",
                prompt_tokens=tokens,
                max_tokens=8000,
                predicted_tokens=200,
                length_class=classify(tokens, settings.lengths),
                blocks=prefix_blocks,
            )
        )
    return works


def place_all(policy, view, predictor, works, random):
    """Place and send every request; above IN_FLIGHT requests, end the oldest."""
    in_flight = deque()
    for work in works:
        predictor.predict(work.organisation, work.model, work.max_tokens)
        placed = policy.place(work, view, 1.0, random)
        admit(work, placed, 1.0, random)
        view.sent(work, placed, 1.0)
        in_flight.append((work.request_id, placed.endpoint))
        if len(in_flight) > IN_FLIGHT:
            oldest = in_flight.popleft()
            view.first_token(*oldest, 1.0)
            view.ended(*oldest)


def place_only(policy, view, works, random):
    """Only choose an endpoint for every request."""
    for work in works:
        policy.place(work, view, 1.0, random)


def microseconds(function, count):
    """Return the median processor time of `function` divided by `count`, in microseconds."""
    times = []
    for _ in range(REPEATS):
        start = time.process_time()
        function()
        times.append(time.process_time() - start)
    return sorted(times)[REPEATS // 2] / count * 1e6


def peak_bytes(policy, view, works, random):
    """Return the median over requests of the peak memory of one placement, in bytes."""
    peaks = []
    tracemalloc.start()
    for work in works:
        tracemalloc.reset_peak()
        before, _ = tracemalloc.get_traced_memory()
        policy.place(work, view, 1.0, random)
        peaks.append(tracemalloc.get_traced_memory()[1] - before)
    tracemalloc.stop()
    return sorted(peaks)[len(peaks) // 2]


def fill_predictor(predictor, organisations, models):
    """Give the predictor observations of every organisation."""
    for organisation in range(organisations):
        for _ in range(8):
            predictor.observe(f"o{organisation}", f"m{organisation % models}", 200)


def measure(policy_class, size, models, settings):
    """Return the table row of one policy and fleet."""
    random = Random(FLAGS.seed)
    view = make_view(settings, size, models, random)
    works = make_works(settings, FLAGS.placements, models, FLAGS.organisations, random)
    predictor = OutputLengthPredictor()
    fill_predictor(predictor, FLAGS.organisations, models)
    policy = policy_class()
    count = len(works)
    place_all(policy, view, predictor, works, random)
    place_us = microseconds(lambda: place_only(policy, view, works, random), count)
    total_us = microseconds(lambda: place_all(policy, view, predictor, works, random), count)
    placement_bytes = peak_bytes(policy, view, works[:200], random)
    return (
        policy_class.__name__,
        size,
        models,
        round(place_us, 1),
        round(total_us, 1),
        placement_bytes,
    )


def main(arguments):
    """Print the table."""
    del arguments
    settings = Settings()
    rows = [
        measure(policy_class, size, models, settings)
        for policy_class in POLICIES
        for size in FLEET_SIZES
        for models in MODELS
    ]
    headers = (
        "policy",
        "endpoints",
        "models",
        "place (us)",
        "predict, place, admit, count (us)",
        "peak of one place (bytes)",
    )
    print(tabulate.tabulate(rows, headers))
    print(f"\n{FLAGS.organisations} organisations, seed {FLAGS.seed}, {FLAGS.placements} requests")


if __name__ == "__main__":
    app.run(main)
