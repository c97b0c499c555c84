"""How much of the processors' time the host has taken from the machine."""

from __future__ import annotations

from pathlib import Path


def processor_times() -> tuple[int, int]:
    """Ticks that the machine's processors have worked, and that the host took while they had work (`steal`)."""
    words = Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:]
    user, nice, system, _, _, interrupts, soft, steal = (int(word) for word in words[:8])
    return user + nice + system + interrupts + soft, steal


def stolen_share(before: tuple[int, int], after: tuple[int, int]) -> float:
    """Share of the wanted time that was taken between two readings."""
    worked, stolen = after[0] - before[0], after[1] - before[1]
    return stolen / max(worked + stolen, 1)
