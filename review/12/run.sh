#!/bin/sh
# Plays the case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. With
# TROUBLE=0 the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/rig agent-entries review/12
