#!/bin/sh
# The stand-ins are Python programs of the standard library: nothing is compiled. This checks that
# they can be loaded.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=standins python3 -c 'import cbor, wire, proxy, store, cloud, worker, site_'
echo "stand-ins: ready"
