#!/bin/sh
# Case 5. TROUBLE=0 plays it without the disruption. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../play.sh" silence "$folder"
