#!/usr/bin/env bash
# An engine leaves just after a machine that was cut off from the store reaches it again.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the cut.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -x target/review/leaving_after_cut ] && [ -x target/programs/cicadahatchd ] || exit 2
timeout 100 target/review/leaving_after_cut "$folder" review/4/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
