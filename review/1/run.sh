#!/bin/sh
MAIN=SurplusBehind
. "$(dirname "$0")/../case.sh"
