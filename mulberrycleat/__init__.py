"""Router fleet for prepaid token budgets.

Subpackages, from the caller inwards: ``router`` (filter chain), ``endpoint`` (choice and health
of endpoints), ``budget``, ``once``, ``manifest`` and ``membership`` (decision logic, free of I/O),
``controller`` (the controllers, which keep the state), ``eventlog`` (access to the platform's
log).

On the users' platform: ``platform`` (the adapter), ``entry`` (the process of an entry host),
``routes``, ``prepaid`` and ``endpoint`` (decision logic, free of I/O), ``explain`` (the course
of single requests, from the logs).
"""

from mulberrycleat._imports import import_trio

import_trio()

__version__ = "0.1.0"
