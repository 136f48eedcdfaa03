"""The platform's names, formats and calls, translated to the product's types and back.

Nothing here decides: what a call means, who may be told what and which answer is given belongs
to the product. No other folder knows a name of the platform.
"""

from __future__ import annotations

# Imported before the libraries: it notes when the process began.
from ..clock import process_start as process_start
from ..programs.certificates import import_http_without_certificates

# Towards the platform everything is plain HTTP.
import_http_without_certificates()
