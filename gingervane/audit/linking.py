"""Links the records of the two ends of a connection by its ports and by the order of the messages on it."""

from __future__ import annotations

import bisect
from collections import defaultdict

from gingervane.audit.records import Day, Record, Send, SubtreeRequest, ends_of


def link_subtree_requests(
    subtree_requests: list[SubtreeRequest],
    front_records: dict[str, list[Record]],
    director: list[Record],
) -> list[SubtreeRequest]:
    """Add to each subtree request when the child read it: at the next request recorded on that connection."""
    taps: dict[int, list[str]] = defaultdict(list)
    for launch in [r for r in director if r["kind"] == "launched"]:
        taps[launch["port"]].append(launch["tap"])
    requests: dict[tuple[str, int], list[float]] = defaultdict(list)
    for tap, records in front_records.items():
        for record in records:
            if record["kind"] == "request":
                requests[tap, record["far"]].append(record["t"])
    out = []
    for subtree in sorted(subtree_requests, key=lambda s: s.t):
        linked = subtree
        for tap in taps[subtree.far]:
            later = [at for at in requests[tap, subtree.near] if at >= subtree.t]
            if later:
                requests[tap, subtree.near].remove(min(later))
                linked = subtree._replace(read=min(later), child=tap)
                break
        out.append(linked)
    return out


def link_nodes(day: Day) -> None:
    """Link each request that a node read to the latest one sent on that connection before."""
    day.ends = ends_of(day.nodes)
    by_connection: dict[tuple[int, int], list[Send]] = defaultdict(list)
    for send in day.sends:
        by_connection[send.node, send.near].append(send)
    for record in day.nodes:
        if "peer" in record:
            sent = by_connection.get((record["node"], record["peer"]), [])
            at = bisect.bisect_right(sent, record["t"], key=lambda s: s.t) - 1
            if at >= 0 and sent[at].took is None:
                sent[at].took = record


def link_replies(day: Day, front_records: dict[str, list[Record]]) -> None:
    """Add to each attempt the times at which the co-ordinator read it and replied, and the tap."""
    by_connection = _by_client_connection(day, front_records)
    for record in day.tries:
        connection_records = by_connection.get((record["coordinator"], record.get("port", -1)), [])
        at = bisect.bisect_left(connection_records, record["sent"], key=lambda r: r["t"])
        record["replies"] = []
        for later in connection_records[at:]:
            if later["kind"] == "request":
                if "read" in record:
                    break
                record["read"], record["tap"] = later["t"], later["tap"]
            else:
                record["replies"].append(later["t"])


def _by_client_connection(
    day: Day, front_records: dict[str, list[Record]]
) -> dict[tuple[int, int], list[Record]]:
    """Group the front records by co-ordinator and client port, in order of time."""
    coordinator_of = {r["tap"]: r["coordinator"] for r in day.director if r["kind"] == "launched"}
    out: dict[tuple[int, int], list[Record]] = defaultdict(list)
    for tap, records in front_records.items():
        for record in records:
            out[coordinator_of[tap], record["far"]].append(record | {"tap": tap})
    for connection_records in out.values():
        connection_records.sort(key=lambda r: r["t"])
    return out
