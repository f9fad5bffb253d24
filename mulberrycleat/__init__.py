"""Router fleet for prepaid token budgets.

Subpackages, from the caller inwards: ``router`` (filter chain), ``endpoint`` (choice and health),
``budget``, ``once``, ``manifest`` and ``membership`` (decisions, free of I/O), ``controller``
(the set of controllers that keep state), ``eventlog`` (the platform's log).
"""

from mulberrycleat._imports import import_trio

import_trio()

__version__ = "0.1.0"
