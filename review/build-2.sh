#!/usr/bin/env bash
# Builds what the cases of the second review start beside the programs of the deploy file. Their
# stand-ins are Python 3 without further libraries (review/lib-2), so that there is nothing to build.
set -euo pipefail
python3 -c 'import sys, asyncio; assert sys.version_info >= (3, 11), sys.version; asyncio.timeout'
