"""Router fleet for prepaid token budgets.

Subpackages, from the caller inwards: ``router`` (filter chain), ``endpoint`` (choice and health),
``budget``, ``once``, ``manifest`` and ``membership`` (decisions, free of I/O), ``controller``
(the set of controllers that keep state), ``eventlog`` (the platform's log).

On the users' platform: ``platform`` (the adapter), ``entry`` (the process of an entry host),
``routes``, ``prepaid`` and ``endpoint`` (decisions, free of I/O), ``explain`` (stories from logs).
"""

from mulberrycleat._imports import import_trio

import_trio()

__version__ = "0.1.0"
