#!/bin/sh
# Builds the stand-ins and the cases 6 to 10; needs the JDK only. The balancer is built by the command of the deploy file. The sources stand
# together in kit-2, as build.sh compiles every Java file beside a script with the stand-ins of the first review.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/kit-2/target
mkdir -p review/kit-2/target
javac --release 17 -nowarn -d review/kit-2/target review/kit-2/src/*.java
