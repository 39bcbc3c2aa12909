#!/bin/sh
MAIN=UpgradeId
. "$(dirname "$0")/../case.sh"
