"""Structured logs through structlog: a JSON object or a console line for each event, on standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog


def configure(style: str, level: str) -> None:
    """Set up logging for the process."""
    render: Any = (
        structlog.processors.JSONRenderer()
        if style == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.StackInfoRenderer(),
            structlog.processors.format_exc_info,
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def get(name: str) -> Any:
    """A logger that names its part of the program."""
    return structlog.get_logger(part=name)
