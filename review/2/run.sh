#!/bin/sh
MAIN=Informational
. "$(dirname "$0")/../case.sh"
