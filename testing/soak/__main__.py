"""Command line of the soak: ``python -m testing.soak --seed N --count C``."""

import sys

from testing.soak.run import main

sys.exit(main())
