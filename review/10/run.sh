#!/bin/sh
# Plays case 10 against the built program. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
# TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
exec bin/standin2 10 review/10
