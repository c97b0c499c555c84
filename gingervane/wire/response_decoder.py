"""Decoder of the remote read ReadResponse; `sample_decoder` decodes the samples of all series in one pass."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from gingervane.wire import protobuf as pb
from gingervane.wire.protobuf import ProtobufError
from gingervane.wire.remote_read_types import Series, Times, Values
from gingervane.wire.sample_decoder import EncodedSamples, decode_samples, end_of_uniform_run

_LABELS_TAG = 0x0A  # of TimeSeries.labels, and of Label.name
_SAMPLES_TAG = 0x12  # of TimeSeries.samples, and of Label.value


def read_response(data: bytes, max_results: int) -> list[list[Series]]:
    """Decode the results of a ReadResponse, in order. Raises ProtobufError.

    The samples of all series are decoded in one pass over arrays, since most responses hold many short
    series.
    """
    results: list[list[_EncodedSeries]] = []
    for field in pb.read_fields(data, 0, len(data), "ReadResponse"):
        if field.number != 1:
            continue
        pb.expect_wire_type(field, pb.BYTES, "ReadResponse.results")
        if len(results) == max_results:
            raise ProtobufError(f"ReadResponse: more than {max_results} results", field.start)
        name = f"results[{len(results)}]"
        encoded_series: list[_EncodedSeries] = []
        for series_field in pb.read_fields(data, field.start, field.end, name):
            if series_field.number == 1:
                pb.expect_wire_type(series_field, pb.BYTES, name + ".timeseries")
                encoded_series.append(
                    _read_series(data, series_field, f"{name}.timeseries[{len(encoded_series)}]")
                )
        results.append(encoded_series)
    all_series = [encoded for encoded_series in results for encoded in encoded_series]
    samples = decode_samples(data, [encoded.samples for encoded in all_series])
    ascending = iter(_are_ascending([times for times, _ in samples]))
    decoded_samples = iter(samples)
    return [
        [_make_series(data, encoded, *next(decoded_samples), next(ascending)) for encoded in encoded_series]
        for encoded_series in results
    ]


def _are_ascending(all_times: list[Times]) -> list[bool]:
    """Return for each array whether it is strictly ascending, in one pass over the concatenated arrays."""
    if not all_times:
        return []
    joined = np.concatenate(all_times)
    non_ascending = (
        np.flatnonzero(joined[1:] <= joined[:-1]) + 1
    )  # indices whose time is not after the previous time
    ends = np.cumsum([len(times) for times in all_times])
    within_array = ~np.isin(non_ascending, ends)
    non_ascending_arrays = set(np.searchsorted(ends, non_ascending[within_array], side="right").tolist())
    return [index not in non_ascending_arrays for index in range(len(all_times))]


class _EncodedSeries(NamedTuple):
    """A series whose samples are not decoded yet."""

    start: int
    end: int
    labels: list[tuple[str, str]]
    samples: EncodedSamples
    histograms: list[tuple[int, bytes]]
    canonical: bool  # the message has only labels, then samples, so that its bytes can be sent on unchanged


def _read_series(data: bytes, message: pb.Field, name: str) -> _EncodedSeries:
    """Decode the labels and histograms of a TimeSeries, and locate its samples."""
    labels: list[tuple[str, str]] = []
    runs: list[tuple[int, int]] = []
    histograms: list[tuple[int, bytes]] = []
    at, end, canonical = message.start, message.end, True
    while at < end:
        if data[at] == _LABELS_TAG and (short_label := _read_short_label(data, at, end)):
            labels.append(short_label[0])
            at = short_label[1]
            canonical = canonical and not runs
            continue
        if data[at] == _SAMPLES_TAG and (run_end := end_of_uniform_run(data, at, end)) > at:
            runs.append((at, run_end))
            at = run_end
            continue
        field = next(pb.read_fields(data, at, end, name))
        if field.number == 1:
            pb.expect_wire_type(field, pb.BYTES, name + ".labels")
            labels.append(_read_label(data, field, name))
            canonical = canonical and not runs
        elif field.number == 2:
            pb.expect_wire_type(field, pb.BYTES, name + ".samples")
            runs.append((at, field.end))
        else:
            canonical = False
            if field.number == 4:
                pb.expect_wire_type(field, pb.BYTES, name + ".histograms")
                histograms.append((_histogram_time(data, field, name), data[field.start : field.end]))
        at = field.end
    if len({label for label, _ in labels}) != len(labels):
        raise ProtobufError(f"{name}: a label name stands twice", message.start)
    return _EncodedSeries(message.start, end, labels, EncodedSamples(name, runs), histograms, canonical)


def _read_short_label(data: bytes, at: int, end: int) -> tuple[tuple[str, str], int] | None:
    """Return a label and its end if it is in the usual form: name then value, each under 128 bytes."""
    label_end = at + 2 + data[at + 1] if at + 4 < end else end + 1
    if label_end > end or data[at + 1] > 0x7F or data[at + 2] != _LABELS_TAG or data[at + 3] > 0x7F:
        return None
    name_end = at + 4 + data[at + 3]
    if (
        name_end + 2 > label_end
        or data[name_end] != _SAMPLES_TAG
        or name_end + 2 + data[name_end + 1] != label_end
    ):
        return None
    try:
        return (data[at + 4 : name_end].decode(), data[name_end + 2 : label_end].decode()), label_end
    except UnicodeDecodeError:
        return None


def _make_series(
    data: bytes, encoded: _EncodedSeries, times: Times, values: Values, ascending: bool
) -> Series:
    """Return the series with sorted labels. `raw` is set if the message is canonical."""
    labels = tuple(sorted(encoded.labels))
    canonical = encoded.canonical and ascending and list(labels) == encoded.labels
    raw = data[encoded.start : encoded.end] if canonical else None
    return Series(labels, times, values, tuple(encoded.histograms), raw)


def _read_label(data: bytes, message: pb.Field, name: str) -> tuple[str, str]:
    label = value = ""
    for field in pb.read_fields(data, message.start, message.end, name):
        if field.number == 1:
            label = pb.decode_text(data, field, name + ".labels.name")
        elif field.number == 2:
            value = pb.decode_text(data, field, name + ".labels.value")
    return label, value


def _histogram_time(data: bytes, message: pb.Field, name: str) -> int:
    for field in pb.read_fields(data, message.start, message.end, name + ".histograms"):
        if field.number == 15:
            pb.expect_wire_type(field, pb.VARINT, name + ".histograms.timestamp")
            return pb.decode_int64(field.value)
    return 0
