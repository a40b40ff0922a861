"""Defines `corkgauge flows listen | report | dump`, which handle flow records."""

import json
import sys
from collections.abc import Iterator
from datetime import UTC
from pathlib import Path
from typing import Any

import click

from corkgauge.commands import EXIT_FOUND, InputError
from corkgauge.commands.shared_options import json_option

ROWS_PER_PARQUET_GROUP = 10_000
MAX_MESSAGE_BYTES = 65_535


@click.group("flows")
def command() -> None:
    """Collect flow records on loopback, report on them, and decode captures.

    \b
    corkgauge flows listen --write night.parquet
    """


def import_optional(module: str, extra: str) -> Any:
    """Import a module of an extra; raises `InputError` with the extra to install."""
    from importlib import import_module

    try:
        return import_module(module)
    except ImportError:
        raise InputError(
            f"{module} is not installed; run: pip install 'corkgauge[{extra}]'"
        ) from None


class RowWriter:
    """Writes rows to a file: Parquet if its name ends in .parquet, otherwise JSON lines."""

    def __init__(self, path: str) -> None:
        self.path, self.rows, self.writer = path, list[dict[str, Any]](), None
        self.parquet = path.endswith(".parquet")
        if self.parquet:
            self.arrow = import_optional("pyarrow", "reports")
            self.library = import_optional("pyarrow.parquet", "reports")
        else:
            self.file = open(path, "w", encoding="utf-8")

    def write_row(self, row: dict[str, Any]) -> None:
        """Write a JSON line, or buffer the row until its Parquet row group is full."""
        if not self.parquet:
            print(json.dumps(row), file=self.file)
            return
        self.rows.append(row)
        if len(self.rows) >= ROWS_PER_PARQUET_GROUP:
            self._write_group()

    def _write_group(self) -> None:
        table = self.arrow.Table.from_pylist(self.rows)
        if self.writer is None:
            self.writer = self.library.ParquetWriter(self.path, table.schema, compression="zstd")
        self.writer.write_table(table)
        self.rows = []

    def close(self) -> None:
        """Write the buffered rows and close the file."""
        if not self.parquet:
            return self.file.close()
        if self.rows:
            self._write_group()
        if self.writer is not None:
            self.writer.close()


@command.command()
@click.option(
    "--port",
    type=click.IntRange(0, 65_535),
    default=4739,
    show_default=True,
    help="Port on 127.0.0.1.",
)
@click.option("--transport", type=click.Choice(["udp", "tcp"]), default="udp", show_default=True)
@click.option(
    "--seconds",
    type=click.FloatRange(0.1),
    default=0.0,
    help="Stop after this time; by default, run until Ctrl-C.",
)
@click.option(
    "--write", "path", metavar="FILE", help="Write rows to a .parquet file, or as JSON lines."
)
@click.option("--capture", metavar="FILE", help="Save the received messages unchanged, for `dump`.")
@json_option("Print rows as JSON lines.")
def listen(
    port: int, transport: str, seconds: float, path: str | None, capture: str | None, as_json: bool
) -> None:
    """Run a collector on loopback that prints the received flow records, or writes them to a file.

    \b
    corkgauge flows listen --write night.parquet
    Exit code: 1 if a received message could not be decoded.
    """
    from corkgauge.eventloop.loop import SECOND, EventLoop
    from corkgauge.flow_export.report_rows import rows_from_message
    from corkgauge.testkit.emulators.collector import EmulatedCollector

    event_loop, counts = EventLoop(), [0, 0, 0]  # messages, records, missed
    writer = RowWriter(path) if path else None
    capture_file = open(capture, "wb") if capture else None

    def on_message(message: Any, data: bytes) -> None:
        counts[0] += 1
        counts[2] += message.missed_count
        if capture_file:
            capture_file.write(len(data).to_bytes(4, "big") + data)
        for row in rows_from_message(message):
            counts[1] += 1
            if writer:
                writer.write_row(row)
            elif as_json:
                print(json.dumps(row), flush=True)
            else:
                print(format_row(row), flush=True)

    try:
        collector = EmulatedCollector(event_loop, transport, on_message, ("127.0.0.1", port))
    except OSError as problem:
        raise InputError(f"127.0.0.1:{port}: {problem.strerror}") from None
    click.echo(f"listening on 127.0.0.1:{collector.address[1]} ({transport})", err=True)
    end_at = event_loop.now + int(seconds * SECOND)
    try:
        while not seconds or event_loop.now < end_at:
            event_loop.turn(200)
    except KeyboardInterrupt:
        pass
    if writer:
        writer.close()
    if capture_file:
        capture_file.close()
    click.echo(
        f"{counts[0]} messages, {counts[1]} records, {counts[2]} missed by sequence number, "
        f"{len(collector.errors)} decoding errors",
        err=True,
    )
    for line in collector.errors[:5]:
        click.echo(line, err=True)
    raise SystemExit(EXIT_FOUND if collector.errors else 0)


def format_row(row: dict[str, Any]) -> str:
    """Return a flow record as one line: time, gateway, peer, addresses, octets and end reason."""
    peer = f"{row['hall']}/{row['engine']}" if row["engine"] or row["hall"] else row["side"]
    addresses = f"{row['source']}:{row['source_port']} > {row['target']}:{row['target_port']}"
    reason = row["reason"]
    octets = f"{row['forward']:>9} forward {row['reverse']:>9} reverse"
    return (
        f"{row['last_ms']} {row['gateway'] or row['domain']} {peer:24} {addresses:44} "
        f"{octets} {reason}"
    )


def read_rows(path: str) -> Iterator[dict[str, Any]]:
    """Yield the rows of a Parquet or JSON lines file; raises `InputError` for an invalid row."""
    from corkgauge.flow_export.report_rows import COLUMNS

    if path.endswith(".parquet"):
        library = import_optional("pyarrow.parquet", "reports")
        try:
            for batch in library.ParquetFile(path).iter_batches():
                yield from batch.to_pylist()
        except (OSError, ValueError) as problem:
            raise InputError(f"{path}: {problem}") from None
        return
    with open(path, encoding="utf-8", errors="replace") as file:
        for number, line in enumerate(file, 1):
            try:
                row = json.loads(line)
                missing = [name for name in COLUMNS if name not in row]
            except (ValueError, TypeError) as problem:
                raise InputError(
                    f"{path}:{number}: expected a row as JSON, found an invalid line ({problem})"
                ) from None
            if missing:
                raise InputError(
                    f"{path}:{number}: expected the column {missing[0]}, found a row without it"
                )
            yield row


@command.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--span",
    type=click.FloatRange(1),
    default=60.0,
    show_default=True,
    help="Seconds per column.",
)
@click.option(
    "--plot",
    metavar="FILE",
    help="Write an SVG plot with a panel per zone (hall) and a line per engine.",
)
@json_option("Print the sums as JSON, for programs.")
def report(files: tuple[str, ...], span: float, plot: str | None, as_json: bool) -> None:
    """Sum up octets by zone (hall), engine and time span, from files that `listen` wrote.

    \b
    corkgauge flows report night.parquet --plot night.svg
    """
    from corkgauge.flow_export.report_rows import octets_by_span

    sums = octets_by_span((row for path in files for row in read_rows(path)), int(span * 1000))
    if plot:
        write_plot(sums, plot, span)
    if as_json:
        print(
            json.dumps(
                [
                    {
                        "hall": zone,
                        "engine": engine,
                        "spans": [
                            {"begin_ms": begin, "there": there, "back": back}
                            for begin, (there, back) in spans.items()
                        ],
                    }
                    for (zone, engine), spans in sums.items()
                ]
            )
        )
        return
    from rich.console import Console

    from corkgauge.commands.tables import plain_table

    begins = sorted({begin for spans in sums.values() for begin in spans})
    table = plain_table(
        "octets to and from engines",
        "hall",
        ("engine", *(format_time(begin) for begin in begins[-12:]), "all"),
    )
    for (zone, engine), spans in sums.items():
        cells = [f"{sum(spans[begin])}" if begin in spans else "" for begin in begins[-12:]]
        table.add_row(zone, engine, *cells, str(sum(sum(each) for each in spans.values())))
    Console().print(table)


def format_time(begin_ms: int) -> str:
    """Return a time of day in UTC."""
    from datetime import datetime

    return datetime.fromtimestamp(begin_ms / 1000, UTC).strftime("%H:%M:%S")


def write_plot(sums: dict, path: str, span_seconds: float) -> None:
    """Write an SVG plot with one panel per zone, so that a drop in one zone stands out."""
    matplotlib = import_optional("matplotlib", "reports")
    matplotlib.use("svg")
    from matplotlib import pyplot

    zones = sorted({zone for zone, _ in sums})
    begins = sorted({begin for spans in sums.values() for begin in spans})
    figure, panels = pyplot.subplots(
        max(len(zones), 1),
        1,
        sharex=True,
        sharey=True,
        squeeze=False,
        figsize=(9, 2.4 * max(len(zones), 1) + 0.6),
    )
    for panel, zone in zip(panels[:, 0], zones):
        for (engine_zone, engine), spans in sums.items():
            if engine_zone == zone:
                panel.plot(
                    [(begin - begins[0]) / 1000 for begin in begins],
                    [sum(spans.get(begin, (0, 0))) / span_seconds / 1000 for begin in begins],
                    label=engine,
                    lw=1.5,
                )
        panel.set_title(zone or "(zone not reported)", loc="left", fontsize=10)
        panel.set_ylabel("kB/s")
        panel.grid(alpha=0.3)
        panel.legend(loc="upper right", fontsize=8, ncol=4, frameon=False)
    panels[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)


@command.command()
@click.argument("capture", type=click.Path(exists=True, dir_okay=False))
@json_option("Print JSON lines, for programs.")
def dump(capture: str, as_json: bool) -> None:
    """Decode a capture of `listen`: messages, templates, options and records.

    \b
    corkgauge flows dump night.capture
    Exit code: 1 if a message could not be decoded.
    """
    from corkgauge.flow_export.decoder import Decoder, MalformedMessageError

    decoder, data, position, error_count = Decoder(), Path(capture).read_bytes(), 0, 0
    while position < len(data):
        size = int.from_bytes(data[position : position + 4], "big")
        message = data[position + 4 : position + 4 + size]
        if size > MAX_MESSAGE_BYTES or len(message) != size:
            raise InputError(
                f"{capture}: expected a whole message, found a truncated message or another file "
                f"format, at byte {position}"
            )
        try:
            decoded = decoder.decode(message)
        except MalformedMessageError as problem:
            error_count += 1
            print(f"{position}: malformed: {problem}", file=sys.stderr)
        else:
            fields = {
                "at": position,
                "version": decoded.version,
                "domain": decoded.domain,
                "sequence": decoded.sequence,
                "exported": decoded.export_time_seconds,
                "templates": decoded.template_count,
                "missed": decoded.missed_count,
                "options": decoded.options,
                "records": decoded.records,
            }
            print(json.dumps(fields, default=repr) if as_json else format_message(fields))
        position += 4 + size
    raise SystemExit(EXIT_FOUND if error_count else 0)


def format_message(fields: dict[str, Any]) -> str:
    """Return a decoded message as text: a line for its header, then a line per record."""
    lines = [
        f"{fields['at']}: version {fields['version']} domain {fields['domain']} "
        f"sequence {fields['sequence']} "
        f"templates {fields['templates']} missed {fields['missed']}"
    ]
    for kind in "options", "records":
        lines += [
            f"    {kind[:-1]} " + " ".join(f"{name}={value}" for name, value in record.items())
            for record in fields[kind]
        ]
    return "\n".join(lines)
