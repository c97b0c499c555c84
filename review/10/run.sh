#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
test -x deploy/venv/bin/python || { echo "the deploy file's build has to be run first"; exit 2; }
rm -f "$here/record.txt"
deploy/venv/bin/python "$here/case.py"
status=$?
# An error of Python's own ends with 1 too, and leaves no verdict.
test $status -ne 1 || grep -q "THE RULE WAS BROKEN" "$here/record.txt" || status=2
exit $status
