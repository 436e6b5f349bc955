#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f review/src-2/classes/Silent.class ] || [ ! -f gatherer/target/sprucehold.jar ]; then
  echo "build first: mvn -q -DskipTests package; review/build-2.sh"
  exit 2
fi
exec java -Xmx512m -cp review/src-2/classes Silent review/10
