"""Entry instance daemon of verbenaworks."""

import os
import warnings

# Eventlet reads this variable on import; its resolver replacement is slower
# and nothing here resolves names.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
# Eventlet announces its deprecation on import, which would reach operators'
# terminals.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
