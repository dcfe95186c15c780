#!/usr/bin/env bash
# Plays the case: four routers, and four backend servers as processes, whose answers have no length and
# end with their connections. One server at a time is killed and started again. Exit code 1: a client got
# a success with part of the server's body; 0: none did; 2: the case could not run. TROUBLE=0 kills no
# server. It takes 85 seconds.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stage ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-stage --case unframed --trouble=$trouble --record "review/1/record.txt"
