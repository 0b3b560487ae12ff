"""Claims of keyed calls on virtual time: stored answers, faults of the table, lost daemons."""

import asyncio
import hashlib

import pytest

from persimmonstall.catalogue import Change, Service
from persimmonstall.claims import records
from persimmonstall.claims.retention import RETENTION_SECONDS
from persimmonstall.clock import Context
from persimmonstall.failures import Outcome, Reason
from persimmonstall_daemon.claims import ClaimCleaner
from persimmonstall_daemon.entry.request import Answer
from persimmonstall_standins.fleet import SECRET, Fleet, small_catalogue
from persimmonstall_standins.virtual.loop import run

CALL = {"service": "records", "method": "file", "model": "", "max_tokens": 0}


@pytest.fixture
def on_records():
    """Run `scenario(fleet, entries)` with two entries and `services` daemons with a service."""

    def start(scenario, services=2):
        async def main():
            catalogue = small_catalogue(hashlib.sha256(SECRET.encode()).hexdigest())
            catalogue.apply(Change(3, "service", "records", Service("records", ("file",))))
            fleet = Fleet(catalogue)
            for number in range(services):
                await fleet.add_service(f"s{number}", "records")
            entries = [await fleet.add_entry(f"entry{number}") for number in range(2)]
            result = await scenario(fleet, entries)
            await fleet.stop()
            return result

        return run(main())

    return start


def call_file(fleet, entry, number=1, key="k1", deadline=10.0, **changes):
    fields = CALL | {"key": key, "deadline": deadline} | changes
    return fleet.send_request(entry, number, 2, **fields)


def runs(fleet):
    return [entry for service in fleet.services.values() for entry in service.runs]


def stored_claims(fleet):
    return [records.decode_claim(row.value) for row in fleet.claims.rows.values()]


def test_finished_key_gets_the_stored_answer_through_another_entry(on_records):
    async def scenario(fleet, entries):
        first = await call_file(fleet, entries[0])
        await asyncio.sleep(1.0)
        second = await call_file(fleet, entries[1])
        return first, second, runs(fleet)

    first, second, ran = on_records(scenario)
    assert len(ran) == 1
    assert second.body == first.body
    assert second.stored and not first.stored


def test_same_key_with_another_body_is_an_error(on_records):
    async def scenario(fleet, entries):
        await call_file(fleet, entries[0])
        return await call_file(fleet, entries[1], number=2), runs(fleet)

    refusal, ran = on_records(scenario)
    assert refusal.reason is Reason.KEY_CONFLICT
    assert len(ran) == 1


def test_call_without_key_gets_one_and_runs_once_for_each_send(on_records):
    async def scenario(fleet, entries):
        answers = [await call_file(fleet, entries[0], key="") for _ in range(2)]
        return answers, runs(fleet)

    answers, ran = on_records(scenario)
    assert all(isinstance(answer, Answer) for answer in answers)
    assert len(ran) == 2


def test_second_sender_of_a_key_in_flight_is_told_so(on_records):
    async def scenario(fleet, entries):
        for service in fleet.services.values():
            service.faults.answer_delay = 5.0
        first = asyncio.ensure_future(call_file(fleet, entries[0]))
        await asyncio.sleep(1.0)
        second = await call_file(fleet, entries[1])
        return await first, second, runs(fleet)

    first, second, ran = on_records(scenario)
    assert isinstance(first, Answer)
    assert second.reason is Reason.KEY_IN_FLIGHT
    assert second.outcome is Outcome.UNKNOWN
    assert len(ran) == 1


def test_both_entries_at_once_run_it_once(on_records):
    async def scenario(fleet, entries):
        asked = [call_file(fleet, entry) for entry in entries for _ in range(3)]
        return await asyncio.gather(*asked), runs(fleet)

    results, ran = on_records(scenario)
    assert len(ran) == 1
    assert any(isinstance(result, Answer) for result in results)
    assert all(result.outcome is Outcome.UNKNOWN for result in results if not result)


def test_table_down_is_refused_at_once_and_truthfully(on_records):
    async def scenario(fleet, entries):
        fleet.claims.faults.down = True
        began = asyncio.get_running_loop().time()
        keyed = await call_file(fleet, entries[0])
        unkeyed = await call_file(fleet, entries[0], key="")
        return keyed, unkeyed, asyncio.get_running_loop().time() - began, runs(fleet)

    keyed, unkeyed, took, ran = on_records(scenario)
    assert keyed.outcome is Outcome.UNKNOWN and keyed.retry_after > 0
    assert unkeyed.outcome is Outcome.NOT_RUN and unkeyed.retry_after > 0
    assert took < 2.0
    assert ran == []


def test_lost_answer_of_the_table_is_read_back(on_records):
    async def scenario(fleet, entries):
        fleet.claims.faults.lose_answers = True
        answer = await call_file(fleet, entries[0])
        return answer, runs(fleet)

    answer, ran = on_records(scenario)
    assert isinstance(answer, Answer)
    assert len(ran) == 1


def test_write_applied_after_its_time_out_never_runs_what_was_given_up(on_records):
    async def scenario(fleet, entries):
        fleet.claims.faults.apply_late = 5.0
        refusal = await call_file(fleet, entries[0], deadline=4.0)
        fleet.claims.faults.apply_late = 0.0
        await asyncio.sleep(20.0)
        again = await call_file(fleet, entries[1])
        return refusal, again, runs(fleet)

    refusal, again, ran = on_records(scenario)
    assert refusal.outcome is Outcome.UNKNOWN
    assert isinstance(again, Answer)
    assert len(ran) == 1


def test_daemon_paused_with_the_call_never_runs_it_after_not_run_was_told(on_records):
    async def scenario(fleet, entries):
        fleet.fabric.cut("entry0:1", "s0:1", both=False)
        refusal = await call_file(fleet, entries[0], deadline=2.0)
        fleet.fabric.heal("entry0:1", "s0:1")
        return refusal, runs(fleet), stored_claims(fleet)

    refusal, ran, claims = on_records(scenario, services=1)
    assert refusal.outcome is Outcome.NOT_RUN
    assert ran == []
    assert isinstance(claims[0], records.GivenUp)


def test_late_answer_of_the_service_is_stored_for_the_resend(on_records):
    async def scenario(fleet, entries):
        for service in fleet.services.values():
            service.faults.answer_delay = 5.0
        refusal = await call_file(fleet, entries[0], deadline=2.0)
        await asyncio.sleep(10.0)
        again = await call_file(fleet, entries[1])
        return refusal, again, runs(fleet)

    refusal, again, ran = on_records(scenario)
    assert refusal.outcome is Outcome.UNKNOWN and refusal.key == "k1"
    assert again.stored
    assert len(ran) == 1


def test_service_that_dies_during_the_call_is_not_called_again(on_records):
    async def scenario(fleet, entries):
        for service in fleet.services.values():
            service.settings.mean_seconds = 1000.0
        asked = asyncio.ensure_future(call_file(fleet, entries[0]))
        await asyncio.sleep(0.5)
        for service in fleet.services.values():
            service.die()
        refusal = await asked
        for service in fleet.services.values():
            service.restart()
        again = await call_file(fleet, entries[1])
        return refusal, again, runs(fleet)

    refusal, again, ran = on_records(scenario)
    assert refusal.outcome is Outcome.UNKNOWN
    assert again.reason is Reason.KEY_IN_FLIGHT
    assert ran == []


def test_refusing_service_is_left_for_another_and_the_call_runs_once(on_records):
    async def scenario(fleet, entries):
        fleet.services["s0"].faults.refuse = True
        answers = [await call_file(fleet, entries[0], key=f"k{n}") for n in range(6)]
        return answers, runs(fleet)

    answers, ran = on_records(scenario)
    assert all(isinstance(answer, Answer) for answer in answers)
    assert len(ran) == 6


def test_model_answer_is_stored_and_not_generated_twice(on_fleet):
    async def scenario(fleet, entry):
        fields = {"idempotent": False, "key": "g1"}
        first = await fleet.send_request(entry, 55, 1000, **fields)
        await asyncio.sleep(1.0)
        return first, await fleet.send_request(entry, 55, 1000, **fields)

    first, second = on_fleet(scenario)
    assert second.stored and second.tokens == first.tokens


def test_model_request_that_is_not_idempotent_is_not_resumed(on_fleet):
    async def scenario(fleet, entry):
        asked = fleet.send_request(entry, 55, 1000, idempotent=False, key="g1")
        asked = asyncio.ensure_future(asked)
        await asyncio.sleep(0.6)
        for engine in fleet.engines.values():
            if engine.memory_used:
                engine.die()
        return await asked, sum(engine.memory_used for engine in fleet.engines.values())

    refusal, used = on_fleet(scenario)
    assert refusal.outcome is Outcome.UNKNOWN
    assert used == 0


async def clean_at(fleet, entry, wall):
    """Clean as if the wall clock showed `wall`; return the numbers of rows and objects left."""
    stores = fleet.stores("")
    context = Context(entry.context.now, lambda: wall)
    cleaner = ClaimCleaner(entry.settings, stores.table, stores.objects, context, "run")
    await cleaner.clean_page()
    await cleaner.clean_page()
    return len(fleet.claims.rows), len(fleet.objects.objects)


def test_rows_and_long_answers_are_deleted_after_the_retention_time(on_records):
    async def scenario(fleet, entries):
        for service in fleet.services.values():
            service.answer_body = lambda call: b"x" * 20_000
        first = await call_file(fleet, entries[0])
        await asyncio.sleep(1.0)
        again = await call_file(fleet, entries[1])
        left = [
            await clean_at(fleet, entries[0], RETENTION_SECONDS + late) for late in (-60.0, 60.0)
        ]
        return first, again, left

    first, again, left = on_records(scenario)
    assert again.stored and again.body == first.body
    assert left == [(1, 1), (0, 0)]
