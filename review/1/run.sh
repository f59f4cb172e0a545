#!/bin/sh
cd "$(dirname "$0")/../.."
exec target/review/case-1 review/1
