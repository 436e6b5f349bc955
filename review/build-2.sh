#!/usr/bin/env bash
# Compiles the stand-ins and cases of the second review (review/6 and up) into review/src-2/classes. Needs the JDK and no
# network; nothing of Maven is used.
set -euo pipefail
cd "$(dirname "$0")/src-2"
rm -rf classes
mkdir classes
javac --release 17 -encoding UTF-8 -d classes stage/*.java ./*.java
