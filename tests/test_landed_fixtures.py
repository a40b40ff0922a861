"""Tests that stored files, datagrams and HTTP answers equal the fixtures in `fixtures/landed`.

`fixtures/write_landed.py` writes the fixtures. A test fails if the program reads a file of an
earlier version differently, sends other datagrams to an instance of an earlier version, or leaves
out a key that an operator's tool reads.
"""

import gzip
import json
from typing import Any

import pytest

from tests import landed_samples as samples


def stored_json(name: str) -> Any:
    return json.loads((samples.FOLDER / name).read_text(encoding="utf-8"))


def stored_octets(name: str) -> bytes:
    return gzip.decompress((samples.FOLDER / f"{name}.gz").read_bytes())


def as_json(value: Any) -> Any:
    """Convert a value to its form in a fixture: tuples to lists, octets to hexadecimal digits."""
    return json.loads(json.dumps(value, default=bytes.hex))


FILE_VALUES = stored_json("files.json")
DATAGRAMS = stored_json("datagrams.json")
OPERATOR_VALUES = stored_json("operator.json")
ANSWERS = stored_json("answers.json")


@pytest.mark.parametrize("name", FILE_VALUES)
def test_stored_file_is_read_as_recorded(name: str) -> None:
    assert as_json(samples.READERS[name](stored_octets(name))) == FILE_VALUES[name]


@pytest.mark.parametrize("name", FILE_VALUES)
def test_file_is_written_as_stored(name: str) -> None:
    assert samples.FILES[name]() == stored_octets(name)


def test_every_sample_file_has_a_fixture() -> None:
    assert sorted(samples.FILES) == sorted(samples.READERS) == sorted(FILE_VALUES)


def test_snapshot_of_the_recovery_service_has_the_keys_of_the_stored_one(tmp_path: Any) -> None:
    written = samples.snapshot_read(samples.recovery_snapshot_of_service(str(tmp_path)))

    assert samples.keys_of(as_json(written)).keys() == FILE_VALUES["n1.recall"].keys()


def test_plan_is_split_into_the_stored_chunks() -> None:
    assert samples.plan_chunks() == stored_json("chunks.json")["chunks"]


def test_stored_chunks_give_the_recorded_plan() -> None:
    fixture = stored_json("chunks.json")

    assert as_json(samples.plan_from_chunks(fixture["chunks"])) == fixture["plan"]


def test_voter_configurations_have_the_recorded_fingerprints() -> None:
    assert samples.voter_configurations() == stored_json("rolls.json")


@pytest.mark.parametrize("name", DATAGRAMS)
def test_datagram_is_written_as_stored(name: str) -> None:
    assert samples.sample_datagram(name).hex() == DATAGRAMS[name]["octets"]


@pytest.mark.parametrize("name", DATAGRAMS)
def test_stored_datagram_is_decoded_as_recorded(name: str) -> None:
    decoded = samples.decode_datagram(bytes.fromhex(DATAGRAMS[name]["octets"]))

    assert as_json(list(decoded)) == DATAGRAMS[name]["opened"]


@pytest.mark.parametrize("name", DATAGRAMS)
def test_handlers_accept_every_stored_datagram(name: str) -> None:
    decoded = samples.decode_datagram(bytes.fromhex(DATAGRAMS[name]["octets"]))

    assert decoded.invalid_count == 0


def test_every_kind_of_datagram_has_a_fixture() -> None:
    assert sorted(samples.SENDERS) == sorted(DATAGRAMS)


@pytest.mark.parametrize("name", OPERATOR_VALUES)
def test_operator_file_is_read_as_recorded(name: str) -> None:
    assert samples.operator_values(samples.FOLDER / name) == OPERATOR_VALUES[name]


def test_every_operator_file_has_recorded_values() -> None:
    files = [path.name for path in samples.FOLDER.glob("operator-*.xml")]

    assert sorted(files) == sorted(OPERATOR_VALUES)


@pytest.mark.parametrize("name", ANSWERS)
def test_listener_answers_with_the_recorded_keys(name: str) -> None:
    assert as_json(samples.http_answer(name)) == ANSWERS[name]


def test_every_http_request_has_a_recorded_answer() -> None:
    assert sorted(samples.HTTP_REQUESTS) == sorted(ANSWERS)
