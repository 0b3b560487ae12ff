"""What callers get where demand is uneven between data centres, on virtual time."""

import itertools
from collections import Counter

import attrs
import pytest

from persimmonstall.direct.distance import Delay, Distances
from persimmonstall.direct.messages import Endpoint
from persimmonstall.direct.placing import Placer

from .delayed_fleet import DelayedFleet
from .direct_parts import LLM, LONG, REPEATABLE, SHORT, make_placer, routed

CENTRES = ("a", "b", "c")
SMALL_ENGINES = attrs.evolve(LLM, engine=attrs.evolve(LLM.engine, slots=6))
DELAYS = [Delay(one, other, 0.003) for one, other in itertools.combinations(CENTRES, 2)]
LONG_TOKENS = 133_000

BLIND_CROSSING = 2 / 3
"""Share of the calls that leave their data centre if nobody looks at it."""


def in_data_centres(placer):
    """Spread the endpoints of a placer evenly over the data centres."""
    for number, endpoint in enumerate(list(placer.fleet.endpoints.values())):
        centre = CENTRES[number % len(CENTRES)]
        placer.fleet.put(attrs.evolve(endpoint, data_centre=centre))


class SpreadFleet(DelayedFleet):
    """Engines and entries in three data centres; the entries' views are `lag` seconds old.

    `crossings` counts the calls of each route that left their data centre.
    """

    def __init__(self, engines=45, lag=0.05, seed=1, delays=DELAYS):
        super().__init__(engines, lag, slots=6, seed=seed)
        in_data_centres(self.placer)
        self.placers = {centre: self.placer_in(centre, delays) for centre in CENTRES}
        self.calls = Counter()
        self.crossings = Counter()

    def placer_in(self, centre, delays):
        """Return the placer of the entries in a data centre."""
        known = self.placer
        return Placer(
            known.fleet,
            known.load_tracker,
            known.failure_scores,
            known.request_limits,
            data_centre=centre,
            random=self.random,
            distances=Distances.of(delays),
        )

    def place_from(self, centre, call, now):
        """Place a call of a caller in a data centre; return where it was placed."""
        placed = self.place(call, now, self.placers[centre])
        remote = placed.request.endpoint.data_centre != centre
        self.calls[call.route.name] += 1
        self.crossings[call.route.name] += remote
        return placed

    def play_shares(self, rate, shares, start, end, long_rate=0.0):
        """Play short and long calls, of which each data centre has its share."""
        calls = []
        for centre, share in zip(CENTRES, shares, strict=True):
            calls += [(at, centre, False) for at in self.arrivals(rate * share, start, end)]
            if long_rate:
                arrivals = self.arrivals(long_rate * share, start, end)
                calls += [(at, centre, True) for at in arrivals]
        for at, centre, is_long in sorted(calls):
            call = (
                routed(LONG, SMALL_ENGINES, tokens=LONG_TOKENS, max_output_tokens=700)
                if is_long
                else routed(SHORT, SMALL_ENGINES)
            )
            self.place_from(centre, call, at)

    def crossing_share(self, route="short"):
        """Return the share of the calls of a route that left their data centre."""
        return self.crossings[route] / self.calls[route]


EVEN = (1 / 3, 1 / 3, 1 / 3)
CROWDED = (0.7, 0.15, 0.15)


def test_calls_stay_in_their_data_centre_while_it_serves_them_in_time():
    """Two thirds of all calls went to another data centre, whatever the load."""
    fleet = SpreadFleet()
    fleet.play_shares(45, EVEN, 0.0, 6.0)
    assert fleet.crossing_share() < 0.1
    assert fleet.outcomes["short"].late_share <= 0.01


@pytest.mark.parametrize("rate", [40, 70])
def test_crowd_in_one_data_centre_spills_over_before_callers_are_late(rate):
    """0.7 of the demand comes to one data centre; the others' engines take the rest."""
    fleet = SpreadFleet()
    fleet.play_shares(rate, CROWDED, 0.0, 6.0, long_rate=1.0)
    assert fleet.outcomes["short"].late_share <= 0.02
    assert fleet.outcomes["long"].late_share <= 0.02
    assert fleet.crossing_share() < 0.5


def test_demand_that_swings_faster_than_views_age_does_not_make_calls_late():
    """The crowd moves to the next data centre every half second; views are 0.3 s old."""
    fleet = SpreadFleet(lag=0.3)
    for number in range(12):
        shares = CROWDED[number % 3 :] + CROWDED[: number % 3]
        fleet.play_shares(45, shares, number * 0.5, (number + 1) * 0.5)
    assert fleet.outcomes["short"].late_share <= 0.02
    assert fleet.crossing_share() < BLIND_CROSSING


def test_parts_of_long_prompts_go_to_idle_engines_of_any_data_centre():
    """Nearness must not make a split fill engines that generate."""
    fleet = SpreadFleet()
    fleet.play_shares(30, CROWDED, 0.0, 2.0)
    busy = {name for name, load in fleet.placer.load_tracker.loads.items() if not load.is_idle()}
    call = routed(LONG, SMALL_ENGINES, tokens=LONG_TOKENS, max_output_tokens=700)
    placed = fleet.place_from("a", call, 2.0)
    used = {demand.endpoint for demand in placed.attempt.demands}
    assert len(used) > 4
    assert not used & busy


def test_plain_calls_of_a_near_and_a_far_endpoint_cost_the_way():
    placer = make_placer(3, "plain", slots=6)
    in_data_centres(placer)
    placer.data_centre = "a"
    call = routed(REPEATABLE, attrs.evolve(LLM, name="plain", engine=None))
    for delays in ([], DELAYS):
        placer.use_distances(Distances.of(delays))
        assert placer.place(call, 0.0, "f").request.endpoint.data_centre == "a"


def test_new_endpoints_in_the_crowded_data_centre_take_what_left_it():
    """25 in 100 endpoints are new; their data centre has 0.7 of the demand."""
    fleet = SpreadFleet(engines=45)
    fleet.play_shares(70, CROWDED, 0.0, 3.0)
    for number in range(15):
        address = f"10.0.1.{number}:80"
        fleet.placer.fleet.put(Endpoint(f"new{number}", "llm", address, "a", born=2, slots=6))
    fleet.play_shares(70, CROWDED, 3.0, 4.0)
    fleet.calls.clear()
    fleet.crossings.clear()
    fleet.play_shares(70, CROWDED, 4.0, 7.0)
    assert fleet.crossing_share() < BLIND_CROSSING / 3
    assert fleet.outcomes["short"].late_share <= 0.01
