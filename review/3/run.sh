#!/bin/sh
# 600 clients send one large job each to a dispatcher with 192 MB: it goes over its limit and is killed. About 8 s.
# Exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/weldmast ] && [ -x review/bin/standin ] || { echo "build first: the command of deploy/balancer.toml, then review/build.sh"; exit 2; }
exec review/bin/standin memory review/3
