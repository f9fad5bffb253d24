"""The burn report as an SVG chart."""

from __future__ import annotations

import pygal

from mulberrycleat.burn.report import Report

__all__ = ["as_svg"]

WIDTH_PX = 1200
HEIGHT_PX = 600
MINUTE_S = 60


def as_svg(report: Report) -> str:
    """Return a bar chart of burn rates as SVG, with one bar per objective and window."""
    chart = pygal.Bar(
        title="Burn rate of error budgets (1 uses up a 30-day budget in 30 days)",
        width=WIDTH_PX,
        height=HEIGHT_PX,
        x_label_rotation=30,
        legend_at_bottom=True,
        js=(),
        no_data_text="no objective has recorded events yet",
    )
    chart.x_labels = [_label(burn) for burn in report.burns]
    window_lengths = [window.length_s for burn in report.burns[:1] for window in burn.windows]
    for index, length_s in enumerate(window_lengths):
        rates = [round(burn.windows[index].rate, 3) for burn in report.burns]
        chart.add(f"{length_s / MINUTE_S:g} min", rates)
    return chart.render(is_unicode=True)


def _label(burn) -> str:
    group = burn.group
    names = [name for name in (group.account, group.pool, group.zone) if name]
    return f"{' '.join(names)}: {burn.objective.measure}"
