#!/bin/sh
# Builds the stand-ins and checks of the cases 6 to 10 with the JDK alone. Run it from anywhere,
# after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p target/standin
javac --release 17 -nowarn -Xlint:-options -d target/standin standin/*.java
