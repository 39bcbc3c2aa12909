#!/bin/sh
MAIN=LeftAnswers
. "$(dirname "$0")/../case.sh"
