// What a running process has used, read from /proc.
//
//   double Before = cpuSeconds(Pid);
//   ...
//   double Used = cpuSeconds(Pid) - Before;

#ifndef HAWTHORNROAD_BENCH_PROCESSUSE_H
#define HAWTHORNROAD_BENCH_PROCESSUSE_H

namespace hawthornroad {

// Seconds of processor time that all threads of Pid have used, user and
// system together. 0 when there is no such process.
double cpuSeconds(int Pid);

// Resident memory of Pid in KiB (VmRSS). 0 when there is no such process.
double residentKiB(int Pid);

} // namespace hawthornroad

#endif // HAWTHORNROAD_BENCH_PROCESSUSE_H
