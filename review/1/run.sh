#!/bin/bash
# Plays case 1; see claim.txt. With TROUBLE=0 no answer is broken off.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] || exit 2
exec target/review-standin 1
