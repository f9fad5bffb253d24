"""Choice among endpoints, admission of requests, and the endpoint state that both use.

The names below are imported on first use: an entry host needs few of the modules, and their import
is a large part of its start on a small host.
"""

from importlib import import_module

_MODULES = {
    "admission": (
        "Admission",
        "AdmissionRequest",
        "AdmissionSettings",
        "Lane",
        "Queued",
        "Refuse",
        "Send",
    ),
    "chooser": ("Choice", "ChoiceSettings", "Chooser"),
    "demand": ("Demand", "priority_of"),
    "prefix": ("BLOCK_BYTES", "prefix_keys"),
    "state": ("Estimate", "LoadReport"),
}
_MODULE_OF = {name: module for module, names in _MODULES.items() for name in names}

__all__ = list(_MODULE_OF)


def __getattr__(name: str) -> object:
    if name not in _MODULE_OF:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULE_OF[name]}"), name)
